"""What entries do for each other's callers."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from yuccapoint.cell.cell_messages import JobLookup
from yuccapoint.cell.cell_messages import JobLookupAnswer
from yuccapoint.cell.cell_messages import RelayAnswer
from yuccapoint.cell.cell_messages import RelayRequest
from yuccapoint.process.append_relay import AppendRelay
from yuccapoint.process.job_lookups import JobLookups

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.cell.cell_messages import CellMessage
    from yuccapoint.cell.cell_view import CellView
    from yuccapoint.connection.control_channel import ControlChannel
    from yuccapoint.process.cell_tail import CellTail
    from yuccapoint.process.group_appender import GroupAppender
    from yuccapoint.process.process_logger import ProcessLogger


class PeerServices:
    """Appends and lookups by way of other entries.

    Parameters
    ----------
    entry : str
        Name of this entry.
    view : CellView
        Latest known records of the cell.
    tail : CellTail
        Keeps the view up to date.
    appender : GroupAppender
        Appends peers' records to the store.
    control_channel : ControlChannel
        Carries requests and answers.
    logger : ProcessLogger
        Receives the log lines.

    Attributes
    ----------
    relay : AppendRelay
        Appends records through peers.
    lookups : JobLookups
        Finds the states of jobs.
    """

    __slots__ = ("_handlers", "lookups", "relay")

    def __init__(
        self,
        entry: str,
        view: CellView,
        tail: CellTail,
        appender: GroupAppender,
        control_channel: ControlChannel,
        logger: ProcessLogger,
    ) -> None:
        self.relay = AppendRelay(
            appender,
            control_channel,
            lambda: view.peers_of(entry),
            lambda: view.is_led_by_other(entry),
            logger,
        )
        self.lookups = JobLookups(
            view,
            tail,
            control_channel,
            lambda: view.peers_of(entry),
            logger,
        )
        self._handlers: dict[type[Any], Callable[[Any], None]] = {
            RelayRequest: self.relay.on_request,
            RelayAnswer: self.relay.on_answer,
            JobLookup: self.lookups.on_lookup,
            JobLookupAnswer: self.lookups.on_answer,
        }

    def handle(self, message: CellMessage) -> bool:
        """Handle a message between entries; return whether it is one."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return False
        handler(message)
        return True
