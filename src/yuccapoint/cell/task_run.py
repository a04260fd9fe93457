"""A task of a step, as the leader schedules it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.crash_history import CrashHistory
from yuccapoint.cell.occurrence_state import Phase

if TYPE_CHECKING:
    from yuccapoint.cell.occurrence_state import WorkerInstance
    from yuccapoint.cell.step_run import StepRun


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
