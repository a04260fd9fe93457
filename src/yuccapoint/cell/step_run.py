"""A step of an occurrence, as the leader schedules it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.gang_history import GangHistory
from yuccapoint.cell.task_run import TaskRun

if TYPE_CHECKING:
    from yuccapoint.cell.occurrence_run import OccurrenceRun
    from yuccapoint.cell.step_spec import StepSpec

# Run time assumed for a task without an estimate.
DEFAULT_ESTIMATE_MS = 1_000


class StepRun:
    """A step of an occurrence."""

    __slots__ = ("done", "gang", "number", "occurrence", "spec", "tasks")

    def __init__(
        self, occurrence: OccurrenceRun, number: int, spec: StepSpec
    ) -> None:
        self.occurrence = occurrence
        self.number = number
        self.spec = spec
        self.done = 0
        self.gang = GangHistory()
        self.tasks = [TaskRun(self, index) for index in range(spec.tasks)]

    @property
    def finished(self) -> bool:
        """Whether all tasks are done."""
        return self.done == len(self.tasks)

    @property
    def pool(self) -> str:
        """Name of the pool whose VMs run the tasks."""
        return self.occurrence.job.queue.rules.pool

    @property
    def gang_failures(self) -> int:
        """How many runs of the gang have failed."""
        # Earlier builds stored the failures of each member only.
        most = max(task.failures for task in self.tasks)
        return max(most, self.gang.failures)

    def share_checkpoint(self) -> None:
        """Set the same checkpoint for all members of a gang.

        A checkpoint of any member is valid for all, but all have to start
        from the same one.
        """
        known = [task.checkpoint for task in self.tasks if task.checkpoint]
        for task in self.tasks:
            task.checkpoint = known[0] if known else ""

    @property
    def next_run(self) -> int:
        """The run number of the gang's next start."""
        return 1 + max(task.run for task in self.tasks)

    @property
    def estimate_ms(self) -> int:
        """The estimated run time of a task."""
        return self.spec.estimate_ms or DEFAULT_ESTIMATE_MS
