"""Capacity of an agent's worker, which may change while it runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.cell_messages import REASON_NO_ROOM
from yuccapoint.cell.cell_messages import REASON_UNREACHABLE
from yuccapoint.cell.worker_clock import WorkerClock

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.cell.run_registry import RunRegistry
    from yuccapoint.cell.worker_events import CheckIn


# Workers check in about every second. A start may follow a check-in of this
# age at most, by the worker's clock: one that waited while the agent was
# suspended shows a capacity that may have shrunk since.
MAX_CHECK_IN_AGE_S = 3.0


class WorkerRoom:
    """Detects starts that were planned for more room than the worker has.

    Parameters
    ----------
    registry : RunRegistry
        Runs of the worker.
    explain : callable
        Logs a decision: its part, text and fields.
    """

    __slots__ = (
        "_check_in",
        "_clock",
        "_explain",
        "_has_shrunk",
        "_registry",
        "_told",
    )

    def __init__(
        self, registry: RunRegistry, explain: Callable[..., None]
    ) -> None:
        self._registry = registry
        # Goes on by steady time: an answer may have waited with a check-in.
        self._clock = WorkerClock()
        self._explain = explain
        self._check_in: CheckIn | None = None
        self._has_shrunk = False
        # Sequence number of the first report since the worker has shrunk; 0
        # until it is sent.
        self._told = 0

    def on_check_in(self, check_in: CheckIn, now_s: float) -> None:
        """Apply a check-in; withdraw unconfirmed starts after a shrink."""
        former, self._check_in = self._check_in, check_in
        if former is None or former.instance != check_in.instance:
            self._has_shrunk = False
            self._told = 0
            self._clock.set(check_in.clock_ms, now_s)
            return
        self.record_clock(check_in.clock_ms, now_s)
        if former.capacity == check_in.capacity:
            return
        self._registry.has_updates = True
        withdrawn = 0
        if not former.capacity.fits(check_in.capacity):
            self._has_shrunk = True
            self._told = 0
            withdrawn = self._registry.withdraw_starts(REASON_NO_ROOM)
        self._explain(
            "worker",
            "its capacity has changed",
            millicores=check_in.capacity.millicores,
            memory_bytes=check_in.capacity.memory_bytes,
            accelerators=check_in.capacity.accelerators,
            withdrawn_starts=withdrawn,
        )

    def record_clock(self, clock_ms: int, now_s: float) -> None:
        """Record the worker's clock, as read at or before this time."""
        self._clock.record(clock_ms, now_s)

    def is_outdated(self, now_s: float) -> bool:
        """Return whether the last check-in is too old to rely on."""
        if self._check_in is None:
            return True
        age_ms = self._clock.least_ms(now_s) - self._check_in.clock_ms
        return age_ms > MAX_CHECK_IN_AGE_S * 1000

    def withdraw_outdated_starts(self, now_s: float) -> None:
        """Withdraw the unconfirmed starts if the check-in is outdated."""
        if not self.is_outdated(now_s):
            return
        withdrawn = self._registry.withdraw_starts(REASON_UNREACHABLE)
        if withdrawn:
            self._registry.has_updates = True
            self._explain(
                "run",
                "withdrew starts, as the worker's last check-in is outdated",
                starts=withdrawn,
            )

    def on_report(self, sequence: int) -> None:
        """Note a report that tells the leader of the worker."""
        self._told = self._told or sequence

    def refusal(self, answered_report: int) -> str:
        """Return why ordered starts are refused; empty if they are not.

        Parameters
        ----------
        answered_report : int
            Sequence number of the last report that the leader had applied;
            0 if it had applied none of this agent's.
        """
        if not self._has_shrunk or 0 < self._told <= answered_report:
            return ""
        return REASON_NO_ROOM
