"""Log of leases that take long to arrive at an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell import lease_bounds

if TYPE_CHECKING:
    from collections.abc import Callable

# A lease that answers an older report is logged: a report is due in less.
MAX_DELAY_S = lease_bounds.SILENT_AFTER_S
# Interval between two lines of an agent.
REPEAT_INTERVAL_S = 1.0


class LeaseDelays:
    """Logs how old the report is that a lease answers.

    A lease counts from its report. With the leader's own delays this tells
    whether the leader or its link is late.

    Parameters
    ----------
    explain : callable
        Logs a decision: its part, text and fields.
    """

    __slots__ = ("_explain", "_next_line_at_s")

    def __init__(self, explain: Callable[..., None]) -> None:
        self._explain = explain
        self._next_line_at_s = 0.0

    def on_lease(
        self, leader: str, term: int, asked_at_s: float, now_s: float
    ) -> None:
        """Note a lease that has arrived.

        Parameters
        ----------
        leader : str
            Entry that granted it.
        term : int
            Its term.
        asked_at_s, now_s : float
            When the report was sent, and steady time in seconds.
        """
        delay_s = now_s - asked_at_s
        if delay_s < MAX_DELAY_S or now_s < self._next_line_at_s:
            return
        self._next_line_at_s = now_s + REPEAT_INTERVAL_S
        remaining_s = asked_at_s + lease_bounds.VM_LEASE_S - now_s
        self._explain(
            "lease",
            "arrived late",
            leader=leader,
            term=term,
            report_ms_ago=int(delay_s * 1000),
            remaining_ms=int(remaining_s * 1000),
        )
