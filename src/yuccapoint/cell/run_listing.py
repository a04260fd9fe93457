"""What a report tells of the runs on a worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.cell_messages import RefusedRun
from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.tracked_run import RunStage

if TYPE_CHECKING:
    from collections.abc import Container
    from collections.abc import Iterable

    from yuccapoint.cell.tracked_run import TrackedRun


def list_running(
    listed_tasks: tuple[RunningTask, ...], runs: Iterable[TrackedRun]
) -> tuple[RunningTask, ...]:
    """Return running tasks, including those started since the poll.

    Parameters
    ----------
    listed_tasks : tuple of RunningTask
        What the worker listed in its answer.
    runs : iterable of TrackedRun
        The runs on the worker.
    """
    listed = {(task.task_id, task.run) for task in listed_tasks}
    started = [
        RunningTask(tracked.task_id, tracked.run, "", 0, 0.0)
        for tracked in runs
        if tracked.stage is RunStage.RUNNING
        and (tracked.task_id, tracked.run) not in listed
    ]
    return (*listed_tasks, *started)


def list_refused(
    runs: Iterable[TrackedRun], report_sequence: int, *, applied: bool
) -> tuple[RefusedRun, ...]:
    """Return the runs that did not start and never will.

    Parameters
    ----------
    runs : iterable of TrackedRun
        The runs on the worker.
    report_sequence : int
        Sequence number of the report.
    applied : bool
        Whether a leader that gets the report applies its runs.
    """
    refused = []
    for tracked in runs:
        if tracked.stage is not RunStage.REFUSED:
            continue
        if applied and not tracked.refusal_report:
            tracked.refusal_report = report_sequence
        refused.append(
            RefusedRun(tracked.task_id, tracked.run, tracked.reason)
        )
    return tuple(refused)


def list_pending(runs: Iterable[TrackedRun]) -> tuple[tuple[str, int], ...]:
    """Return the runs whose start is pending."""
    return tuple(
        (tracked.task_id, tracked.run)
        for tracked in runs
        if tracked.stage is RunStage.STARTING
    )


def list_unordered(
    running: tuple[RunningTask, ...],
    listed_before: tuple[RunningTask, ...],
    ordered: Container[tuple[str, int]],
) -> list[RunningTask]:
    """Return the newly listed runs that this agent did not start.

    Parameters
    ----------
    running, listed_before : tuple of RunningTask
        What the worker lists, and what it listed in its answer before.
    ordered : container of tuple
        The runs that were ordered, by task and run.
    """
    before = {(task.task_id, task.run) for task in listed_before}
    return [
        task
        for task in running
        if (task.task_id, task.run) not in before
        and (task.task_id, task.run) not in ordered
    ]
