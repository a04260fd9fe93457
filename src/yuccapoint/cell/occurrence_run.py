"""One execution of all steps of a job, as the leader schedules it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.occurrence_state import GangFailures
from yuccapoint.cell.occurrence_state import OccurrenceState
from yuccapoint.cell.occurrence_state import Outcome
from yuccapoint.cell.occurrence_state import Phase
from yuccapoint.cell.occurrence_state import TaskCrashes
from yuccapoint.cell.occurrence_state import TaskState
from yuccapoint.cell.step_run import StepRun

if TYPE_CHECKING:
    from yuccapoint.cell.job_run import JobRun
    from yuccapoint.cell.occurrence_state import WorkerInstance
    from yuccapoint.cell.task_run import TaskRun


class OccurrenceRun:
    """One execution of all steps of a job.

    Attributes
    ----------
    begun : bool
        Whether a worker ever ran one of the tasks.
    begun_stored : bool
        Whether the last written state says so.
    """

    __slots__ = (
        "begun",
        "begun_stored",
        "job",
        "number",
        "outcome",
        "steps",
    )

    def __init__(self, job: JobRun, number: int) -> None:
        self.job = job
        self.number = number
        self.outcome = Outcome.OPEN
        self.begun = False
        self.begun_stored = False
        self.steps = [
            StepRun(self, step_number, spec)
            for step_number, spec in enumerate(job.submission.steps)
        ]

    @property
    def tasks(self) -> list[TaskRun]:
        """All tasks of all steps."""
        return [task for step in self.steps for task in step.tasks]

    @property
    def is_idle(self) -> bool:
        """Whether no task has a claim.

        Each occurrence runs at least one task, however crowded the VMs are.
        """
        return all(task.phase is not Phase.CLAIMED for task in self.tasks)

    def is_ready(self, step: StepRun) -> bool:
        """Return whether all steps that a step depends on are done."""
        return all(self.steps[n].finished for n in step.spec.depends_on)

    def critical_path_left_ms(self) -> float:
        """Return the remaining length of the critical path."""
        ends: list[float] = []
        for step in self.steps:
            start_ms = max((ends[n] for n in step.spec.depends_on), default=0)
            left_ms = 0.0
            if not step.finished:
                done = min(
                    (t.percent for t in step.tasks if t.instance is not None),
                    default=0,
                )
                left_ms = step.estimate_ms * (100 - done) / 100
            ends.append(start_ms + left_ms)
        return max(ends)

    def remaining_work(self) -> float:
        """Return the remaining work in millicore-milliseconds."""
        return sum(
            (len(step.tasks) - step.done)
            * step.spec.size.millicores
            * step.estimate_ms
            for step in self.steps
        )

    def load(self, state: OccurrenceState) -> None:
        """Restore the stored state."""
        self.outcome = state.outcome
        self.begun = self.begun_stored = state.begun
        for step, states in zip(self.steps, state.steps, strict=False):
            for task, stored in zip(step.tasks, states, strict=False):
                task.run = stored.run
                task.phase = stored.phase
                task.failures = stored.failures
                task.checkpoint = stored.checkpoint
                task.stored_checkpoint = stored.checkpoint
                if stored.phase is Phase.CLAIMED:
                    task.instance = state.instances[stored.instance]
                    task.durable = True
                    # A former leader may have sent the start already.
                    task.ordered_at_s = -1.0
            step.done = sum(t.phase is Phase.DONE for t in step.tasks)
            if step.spec.gang:
                # Earlier builds stored the failures of each member only.
                step.gang.load_members(step.tasks)
        for crashed in state.crashes:
            task = self.steps[crashed.step].tasks[crashed.index]
            task.crashes.runs = list(crashed.runs)
            task.crashes.known = crashed.known
            task.crashes.doubtful = crashed.doubtful
        for failed in state.gang_failures:
            gang = self.steps[failed.step].gang
            gang.failures = failed.failures
            gang.failed_run = failed.run

    def snapshot(self) -> OccurrenceState:
        """Return the state to store."""
        instances: list[WorkerInstance] = []
        numbers: dict[WorkerInstance, int] = {}
        steps = []
        for step in self.steps:
            states = []
            for task in step.tasks:
                task.stored_checkpoint = task.checkpoint
                number = -1
                if task.instance is not None:
                    number = numbers.setdefault(task.instance, len(instances))
                    if number == len(instances):
                        instances.append(task.instance)
                states.append(
                    TaskState(
                        task.run,
                        task.phase,
                        number,
                        task.failures,
                        task.checkpoint,
                    )
                )
            steps.append(states)
        self.begun_stored = self.begun
        crashes = [
            TaskCrashes(
                task.step.number,
                task.index,
                list(task.crashes.runs),
                task.crashes.known,
                task.crashes.doubtful,
            )
            for task in self.tasks
            if task.is_suspect
        ]
        gang_failures = [
            GangFailures(step.number, step.gang.failures, step.gang.failed_run)
            for step in self.steps
            if step.gang.failures
        ]
        return OccurrenceState(
            self.outcome, instances, steps, self.begun, crashes, gang_failures
        )
