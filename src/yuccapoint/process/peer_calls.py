"""Calls to other entries over the control channel."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

from yuccapoint.process.steady_clock import steady_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.cell.cell_messages import CellMessage
    from yuccapoint.connection.control_channel import ControlChannel

AnswerT = TypeVar("AnswerT")


class PeerCalls(Generic[AnswerT]):
    """Matches the answers of peers with calls.

    Parameters
    ----------
    control_channel : ControlChannel
        Carries calls and answers.
    """

    def __init__(self, control_channel: ControlChannel) -> None:
        self._control_channel = control_channel
        # A peer may still answer calls of this entry's former process.
        self._numbers = itertools.count(time.time_ns())
        self._waiting: dict[int, asyncio.Future[AnswerT]] = {}

    async def call(
        self,
        address: str,
        build_message: Callable[[int], CellMessage],
        timeout_s: float,
    ) -> AnswerT | None:
        """Return a peer's answer, or None after the timeout.

        Parameters
        ----------
        address : str
            The peer's address for control messages.
        build_message : callable
            Returns the message with a call's number.
        timeout_s : float
            Timeout in seconds.
        """
        number = next(self._numbers)
        answered: asyncio.Future[AnswerT] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[number] = answered
        sent_at_s = steady_s()
        self._control_channel.send(address, build_message(number))
        try:
            async with asyncio.timeout(timeout_s):
                return await answered
        except TimeoutError:
            self._control_channel.note_unanswered(address, sent_at_s)
            return None
        finally:
            del self._waiting[number]

    def on_answer(self, number: int, answer: AnswerT) -> None:
        """Resolve the call with a number; ignore a late answer."""
        answered = self._waiting.get(number)
        if answered is not None and not answered.done():
            answered.set_result(answer)
