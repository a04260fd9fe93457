"""Control messages of agents to a cell's leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.cell_messages import VmReport
from yuccapoint.cell.crash_messages import CrashReport
from yuccapoint.process.steady_clock import steady_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.cell.cell_leader import CellLeader
    from yuccapoint.cell.cell_messages import CellMessage
    from yuccapoint.process.term_statistics import TermStatistics


class LeaderInbox:
    """Passes the reports of agents to the leader.

    Parameters
    ----------
    wake : callable
        Called after each message that a decision may follow.
    note_delivered : callable
        Called with an agent's address and the time at which orders were sent
        to it that it has got.
    statistics : TermStatistics
        Counts the reports.
    """

    __slots__ = ("_note_delivered", "_statistics", "_wake")

    def __init__(
        self,
        wake: Callable[[], None],
        note_delivered: Callable[[str, float], None],
        statistics: TermStatistics,
    ) -> None:
        self._wake = wake
        self._note_delivered = note_delivered
        self._statistics = statistics

    def handle(self, leader: CellLeader, message: CellMessage) -> None:
        """Apply a message; others than those of agents are ignored."""
        if isinstance(message, CrashReport):
            if leader.crash_counter.apply(message, steady_s()):
                self._wake()
            return
        if not isinstance(message, VmReport):
            return
        self._statistics.on_report()
        if leader.on_report(message, steady_s()):
            self._wake()
        sent_at_s = leader.heard_orders_sent_at_s(message)
        if sent_at_s is not None:
            self._note_delivered(message.address, sent_at_s)
