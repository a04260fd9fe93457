"""Log line of a worker's instance that the leader is told of."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.cell.cell_messages import WorkerReport
    from yuccapoint.cell.followed_worker import FollowedWorker
    from yuccapoint.cell.run_registry import RunRegistry


def explain_reported(
    report: WorkerReport,
    worker: FollowedWorker,
    registry: RunRegistry,
    explain: Callable[..., None],
    now_s: float,
) -> None:
    """Log that the leader is told of a new instance, once.

    Parameters
    ----------
    report : WorkerReport
        What the leader is told.
    worker : FollowedWorker
        The worker.
    registry : RunRegistry
        Its runs.
    explain : callable
        Logs a decision.
    now_s : float
        Steady time in seconds.
    """
    withheld_since_s = worker.withheld_since_s
    if not withheld_since_s:
        return
    explain(
        "worker",
        "the new instance is reported",
        worker=report.instance.worker_id,
        born_ms=report.instance.born_ms,
        withheld_ms=int(1000 * (now_s - withheld_since_s)),
        runs_listed=int(registry.runs_listed),
        running=len(registry.running),
        ends=len(registry.report_ends()),
    )
    worker.withheld_since_s = 0.0
