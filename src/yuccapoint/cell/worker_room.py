"""Capacity of an agent's worker, which may change while it runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.cell_messages import REASON_NO_ROOM

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.cell.run_registry import RunRegistry
    from yuccapoint.cell.worker_events import CheckIn


class WorkerRoom:
    """Detects starts that were planned for more room than the worker has.

    Parameters
    ----------
    registry : RunRegistry
        Runs of the worker.
    explain : callable
        Logs a decision: its part, text and fields.
    """

    __slots__ = ("_check_in", "_explain", "_has_shrunk", "_registry", "_told")

    def __init__(
        self, registry: RunRegistry, explain: Callable[..., None]
    ) -> None:
        self._registry = registry
        self._explain = explain
        self._check_in: CheckIn | None = None
        self._has_shrunk = False
        # Sequence number of the first report since the worker has shrunk; 0
        # until it is sent.
        self._told = 0

    def on_check_in(self, check_in: CheckIn) -> None:
        """Apply a check-in; withdraw unconfirmed starts after a shrink."""
        former, self._check_in = self._check_in, check_in
        if former is None or former.instance != check_in.instance:
            self._has_shrunk = False
            self._told = 0
            return
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
