"""Calls that are due to start and stop runs on a worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.tracked_run import RunStage
from yuccapoint.cell.worker_events import StartCall
from yuccapoint.cell.worker_events import StopCall

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccapoint.cell.tracked_run import TrackedRun
    from yuccapoint.cell.worker_lease import WorkerLease


def due_calls(
    runs: Iterable[TrackedRun],
    term: int,
    lease: WorkerLease,
    now_s: float,
    *,
    worker_is_silent: bool = False,
) -> list[StartCall | StopCall]:
    """Return the starts and stops to send now.

    Parameters
    ----------
    runs : iterable of TrackedRun
        The runs on the worker.
    term : int
        Term of the leader.
    lease : WorkerLease
        Lease of the worker.
    now_s : float
        Steady time in seconds.
    worker_is_silent : bool
        Whether it left the last poll unanswered.
    """
    calls = []
    for tracked in runs:
        if now_s < tracked.next_call_at_s:
            continue
        if tracked.call_pending and not tracked.blocks_former_start:
            continue
        is_first = not tracked.first_call_at_s
        call = _next_call(tracked, term, lease, now_s)
        if call is None:
            continue
        if is_first:
            tracked.called_in_silence = worker_is_silent
        tracked.call_pending = True
        if tracked.blocks_former_start:
            tracked.delay_next_block(now_s)
        calls.append(call)
    return calls


def _next_call(
    tracked: TrackedRun, term: int, lease: WorkerLease, now_s: float
) -> StartCall | StopCall | None:
    if tracked.stage is RunStage.STOPPING and not tracked.stop_acked_at_s:
        return StopCall(tracked.task_id, tracked.run, term)
    if tracked.stage is not RunStage.STARTING or tracked.order is None:
        return None
    if not lease.is_valid(now_s):
        return None
    lease_until_ms = lease.until_clock_ms()
    if lease_until_ms is None:
        return None
    tracked.first_call_at_s = tracked.first_call_at_s or now_s
    return StartCall(tracked.order, term, lease_until_ms)
