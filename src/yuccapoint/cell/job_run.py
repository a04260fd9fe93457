"""The leader's working state of a job."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.cell_records import StoredQueue
from yuccapoint.cell.occurrence_run import OccurrenceRun
from yuccapoint.cell.occurrence_state import Outcome
from yuccapoint.cell.step_run import DEFAULT_ESTIMATE_MS
from yuccapoint.cell.submission import MAX_TASKS

if TYPE_CHECKING:
    from yuccapoint.cell.submission import Submission


class JobRun:
    """A job that the cell's leader schedules.

    Attributes
    ----------
    queue : StoredQueue
        The job's queue by the newest config that the leader has applied.
    blamed_vm : bool
        Whether a failure of the job has counted against a VM since one of
        its runs last succeeded.
    """

    __slots__ = (
        "_next_occurrence",
        "blamed_vm",
        "cancelled",
        "critical_path_ms",
        "occurrences",
        "queue",
        "submission",
    )

    def __init__(self, submission: Submission) -> None:
        self.submission = submission
        self.queue = StoredQueue(
            submission.address, submission.config_version, submission.queue
        )
        self.blamed_vm = False
        self.cancelled = False
        self.occurrences: dict[int, OccurrenceRun] = {}
        self.critical_path_ms = _critical_path_of(submission)
        self._next_occurrence = 0

    @property
    def next_occurrence(self) -> int:
        """The lowest number without an occurrence.

        A loaded job may lack the state of earlier ones than it has, as an
        occurrence is stored when a task of it is first claimed.
        """
        while self._next_occurrence in self.occurrences:
            self._next_occurrence += 1
        return self._next_occurrence

    @property
    def occurrence_room(self) -> int:
        """How many more occurrences fit into the tasks of one job.

        Any number of occurrences may be due at once.
        """
        tasks = sum(step.tasks for step in self.submission.steps)
        open_count = sum(
            occurrence.outcome is Outcome.OPEN
            for occurrence in self.occurrences.values()
        )
        return max(1, MAX_TASKS // tasks) - open_count

    def occurrence(self, number: int) -> OccurrenceRun:
        """Return an occurrence, created on first use."""
        occurrence = self.occurrences.get(number)
        if occurrence is None:
            occurrence = OccurrenceRun(self, number)
            self.occurrences[number] = occurrence
        return occurrence

    def objective_at_ms(self, occurrence: int) -> float:
        """Return the wall-clock time by which an occurrence should end."""
        start_ms = self.submission.due_at_ms(occurrence)
        start_ms = start_ms or self.submission.accepted_at_ms
        return start_ms + self.objective_span_ms

    @property
    def objective_span_ms(self) -> float:
        """The time that an occurrence should take."""
        rules = self.queue.rules
        work_ms = rules.objective_factor * self.critical_path_ms
        return work_ms + rules.objective_ms


def _critical_path_of(submission: Submission) -> int:
    ends: list[int] = []
    for step in submission.steps:
        start_ms = max((ends[n] for n in step.depends_on), default=0)
        ends.append(start_ms + (step.estimate_ms or DEFAULT_ESTIMATE_MS))
    return max(ends)
