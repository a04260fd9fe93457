"""One call for all who ask for its result at the same time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


class CoalescedCall:
    """Runs a call for all callers that asked for it before it began.

    A caller that asks while the call runs waits for the next one, as the
    result has to be newer than its question. A caller that is cancelled
    doesn't end the call for the others.

    Parameters
    ----------
    call : callable
        The call; a failure is raised to all callers that wait for it.
    """

    def __init__(self, call: Callable[[], Awaitable[None]]) -> None:
        self._call = call
        self._waiting: list[asyncio.Future[None]] = []
        self._runner: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Wait for a call that begins after this one."""
        result: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting.append(result)
        if self._runner is None:
            self._runner = asyncio.ensure_future(self._run_calls())
        await result

    async def _run_calls(self) -> None:
        try:
            while self._waiting:
                waiting, self._waiting = self._waiting, []
                await self._run_call(waiting)
        finally:
            self._runner = None

    async def _run_call(self, waiting: list[asyncio.Future[None]]) -> None:
        failure: Exception | None = None
        try:
            await self._call()
        except Exception as error:  # noqa: BLE001
            # Its callers handle it.
            failure = error
        for result in waiting:
            if result.done():
                continue
            if failure is None:
                result.set_result(None)
            else:
                result.set_exception(failure)
