"""Lookup of a task by its id."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.decoding import parse_number

if TYPE_CHECKING:
    from collections.abc import Mapping

    from yuccapoint.cell.job_run import JobRun
    from yuccapoint.cell.task_run import TaskRun


def find_task(jobs: Mapping[str, JobRun], task_id: str) -> TaskRun | None:
    """Return the task with an id, or None.

    Parameters
    ----------
    jobs : mapping of str to JobRun
        All jobs, by id.
    task_id : str
        Job id, occurrence, step and index, with dots between them.
    """
    job_id, _, rest = task_id.partition(".")
    job = jobs.get(job_id)
    numbers = [parse_number(number) for number in rest.split(".")]
    if job is None or len(numbers) != 3:
        return None
    occurrence, step, index = numbers
    if occurrence is None or step is None or index is None:
        return None
    found = job.occurrences.get(occurrence)
    if found is None or step >= len(found.steps):
        return None
    tasks = found.steps[step].tasks
    return tasks[index] if index < len(tasks) else None
