"""Reports that an agent has sent, to match the leader's answers with."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.cell.cell_messages import LeaderOrders
    from yuccapoint.cell.cell_messages import StartOrder

# Incarnations are raised by less than this, in nanoseconds.
INCARNATION_SPREAD_NS = 1_000_000
# Reports that are kept to match the leader's answers with.
MAX_UNANSWERED_REPORTS = 32


class SentReports:
    """Numbers the reports of one agent and keeps when they were sent.

    Parameters
    ----------
    incarnation : int
        Start time of the agent in nanoseconds.
    explain : callable
        Logs a decision.

    Attributes
    ----------
    incarnation : int
        Tells the reports of this agent from those of its predecessors.
    sequence : int
        Number of the newest report.
    """

    __slots__ = (
        "_expiry_sequence",
        "_explain",
        "_sent_at_s",
        "incarnation",
        "sequence",
    )

    def __init__(self, incarnation: int, explain: Callable[..., None]) -> None:
        self.incarnation = incarnation
        self.sequence = 0
        # The newest report of an expired lease, on which the leader releases
        # all claims of the VM.
        self._expiry_sequence = 0
        self._sent_at_s: dict[int, float] = {}
        self._explain = explain

    def raise_incarnation(self, former: int) -> None:
        """Take an incarnation above one that the leader follows.

        An incarnation is the time of day at the agent's start, which may be
        set back between two starts. The leader would ignore all reports of
        the later agent as those of a former one.
        """
        # The lower digits tell agents apart that are raised from the same one.
        raised = former + 1 + self.incarnation % INCARNATION_SPREAD_NS
        self._explain(
            "leader",
            "started before its predecessor by the time of day",
            incarnation=self.incarnation,
            former=former,
            raised=raised,
        )
        self.incarnation = raised

    def begin(self, now_s: float) -> None:
        """Number the report that is sent now."""
        self.sequence += 1
        self._sent_at_s[self.sequence] = now_s
        if len(self._sent_at_s) > MAX_UNANSWERED_REPORTS:
            del self._sent_at_s[next(iter(self._sent_at_s))]

    def note_expiry(self) -> None:
        """Note that the newest report tells of an expired lease."""
        self._expiry_sequence = self.sequence

    def answered(self, orders: LeaderOrders) -> int:
        """Return which report of this agent the orders answer; 0 if none."""
        if orders.agent_incarnation != self.incarnation:
            return 0
        return orders.answers

    def answered_at_s(self, orders: LeaderOrders) -> float | None:
        """Return when the report that orders answer was sent, if known."""
        return self._sent_at_s.get(self.answered(orders))

    def valid_starts(self, orders: LeaderOrders) -> tuple[StartOrder, ...]:
        """Return the starts, unless their claims may have been released."""
        if not orders.starts or not self._expiry_sequence:
            return orders.starts
        if self.answered(orders) >= self._expiry_sequence:
            return orders.starts
        self._explain(
            "run",
            "ignored starts ordered before the lease was reported as expired",
            starts=len(orders.starts),
            answers=orders.answers,
            expiry_report=self._expiry_sequence,
        )
        return ()
