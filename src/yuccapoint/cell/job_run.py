"""The leader's working state of jobs, occurrences, steps and tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.crash_history import CrashHistory
from yuccapoint.cell.gang_history import GangHistory
from yuccapoint.cell.occurrence_state import GangFailures
from yuccapoint.cell.occurrence_state import OccurrenceState
from yuccapoint.cell.occurrence_state import Outcome
from yuccapoint.cell.occurrence_state import Phase
from yuccapoint.cell.occurrence_state import TaskCrashes
from yuccapoint.cell.occurrence_state import TaskState
from yuccapoint.cell.submission import MAX_TASKS

if TYPE_CHECKING:
    from yuccapoint.cell.occurrence_state import WorkerInstance
    from yuccapoint.cell.step_spec import StepSpec
    from yuccapoint.cell.submission import Submission

# Run time assumed for a task without an estimate.
DEFAULT_ESTIMATE_MS = 1_000


class TaskRun:
    """A task with its newest claim and the reported state of the run.

    Attributes
    ----------
    task_id : str
        ``JOB.OCCURRENCE.STEP.INDEX``.
    instance : WorkerInstance or None
        Instance of the worker on which the newest run is claimed.
    durable : bool
        Whether the claim is stored.
    checkpoint, stored_checkpoint : str
        The newest known checkpoint and the last one that was written.
    ordered_at_s : float
        When a start was last sent to the agent; 0 for never.
    seen_running : bool
        Whether the agent reported the run.
    stopping : str
        Why the run is being stopped; empty when it is not.
    failed_on : set of str
        VMs on which the task failed.
    left_vm : str
        VM that the task was last moved off, as it was too slow there.
    moves : int
        Number of such moves.
    speed : float
        Mean share of its processors, 0 to 1, that the run used of late.
    crashes : CrashHistory
        Crashes of workers that the task may have caused.
    lasted : bool
        Whether the run has worked for long enough to speak for its VM.
    short_runs : int
        Number of failed runs since one that lasted.
    """

    __slots__ = (
        "checkpoint",
        "crashes",
        "durable",
        "failed_on",
        "failures",
        "index",
        "instance",
        "lasted",
        "left_vm",
        "load",
        "moves",
        "not_before_s",
        "ordered_at_s",
        "percent",
        "phase",
        "progressed_at_s",
        "run",
        "seen_running",
        "short_runs",
        "speed",
        "started_at_s",
        "step",
        "stopping",
        "stored_checkpoint",
        "task_id",
        "wait_logged_at_s",
        "waiting_since_s",
    )

    def __init__(self, step: StepRun, index: int) -> None:
        occurrence = step.occurrence
        self.task_id = (
            f"{occurrence.job.submission.job_id}."
            f"{occurrence.number}.{step.number}.{index}"
        )
        self.step = step
        self.index = index
        self.run = 0
        self.phase = Phase.WAITING
        self.instance: WorkerInstance | None = None
        self.failures = 0
        self.checkpoint = ""
        self.stored_checkpoint = ""
        self.failed_on: set[str] = set()
        self.crashes = CrashHistory()
        self.left_vm = ""
        self.moves = 0
        self.short_runs = 0
        self.not_before_s = 0.0
        self.waiting_since_s = 0.0
        self.wait_logged_at_s = 0.0
        self._reset_run()

    def _reset_run(self) -> None:
        self.durable = False
        self.ordered_at_s = 0.0
        self.seen_running = False
        self.lasted = False
        self.speed = 1.0
        self.stopping = ""
        self.started_at_s = 0.0
        self.percent = 0
        self.progressed_at_s = 0.0
        self.load = 0.0

    @property
    def is_movable(self) -> bool:
        """Whether a stop of the run loses next to no best-effort work."""
        spec = self.step.spec
        if not spec.best_effort or not spec.saves_progress or spec.gang:
            return False
        return self.seen_running and not self.stopping

    @property
    def is_suspect(self) -> bool:
        """Whether the task may crash the worker that starts it next."""
        return bool(self.crashes.runs)

    def claim(self, instance: WorkerInstance, run: int) -> None:
        """Claim the next run on an instance of a worker."""
        self._reset_run()
        self.phase = Phase.CLAIMED
        self.instance = instance
        self.run = run

    def move_claim(self, instance: WorkerInstance, why: str) -> None:
        """Move the claim to a later instance of its worker, to be stopped."""
        why = self.stopping or why
        self._reset_run()
        self.instance = instance
        self.stopping = why
        self.durable = True
        self.ordered_at_s = -1.0

    def release(self, checkpoint: str, now_s: float) -> None:
        """Return the task to the queue after a run that did not finish."""
        self.phase = Phase.WAITING
        self.instance = None
        if checkpoint:
            self.checkpoint = checkpoint
        self.waiting_since_s = now_s
        self._reset_run()

    def finish(self) -> None:
        """Mark the task as done."""
        self.phase = Phase.DONE
        self.instance = None
        self._reset_run()


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


class JobRun:
    """A job that the cell's leader schedules.

    Attributes
    ----------
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
        "submission",
    )

    def __init__(self, submission: Submission) -> None:
        self.submission = submission
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
        queue = self.submission.queue
        start_ms = self.submission.due_at_ms(occurrence)
        start_ms = start_ms or self.submission.accepted_at_ms
        work_ms = queue.objective_factor * self.critical_path_ms
        return start_ms + work_ms + queue.objective_ms


def _critical_path_of(submission: Submission) -> int:
    ends: list[int] = []
    for step in submission.steps:
        start_ms = max((ends[n] for n in step.depends_on), default=0)
        ends.append(start_ms + (step.estimate_ms or DEFAULT_ESTIMATE_MS))
    return max(ends)
