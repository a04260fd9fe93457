"""Occurrences of repeating jobs that are about to be due."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccapoint.cell.job_run import JobRun

# Scheduled occurrences are created this long before they are due.
SCHEDULE_LEAD_MS = 1_000


def add_due_occurrences(
    jobs: Iterable[JobRun], now_s: float, wall_ms: int
) -> None:
    """Create the occurrences of jobs that are about to be due.

    Parameters
    ----------
    jobs : iterable of JobRun
        All jobs.
    now_s : float
        Steady time in seconds.
    wall_ms : int
        Wall-clock time in milliseconds.
    """
    for job in jobs:
        submission = job.submission
        if not submission.repeats or job.cancelled:
            continue
        room: int | None = None
        next_number = job.next_occurrence
        while next_number < submission.repeats:
            due_ms = submission.due_at_ms(next_number)
            if due_ms > wall_ms + SCHEDULE_LEAD_MS:
                break
            if room is None:
                room = job.occurrence_room
            if room <= 0:
                # The others follow as these end.
                break
            room -= 1
            occurrence = job.occurrence(next_number)
            for task in occurrence.tasks:
                task.waiting_since_s = now_s + (due_ms - wall_ms) / 1000
            next_number = job.next_occurrence
