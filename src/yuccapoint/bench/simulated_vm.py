"""A VM in virtual time: the real keeper and guard, a stand-in worker."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from yuccapoint.connection.http_worker import StartBody
from yuccapoint.connection.messages import AttemptAcknowledged
from yuccapoint.connection.messages import LeaseGrant
from yuccapoint.connection.messages import StartAttempt
from yuccapoint.job.actions import Explain
from yuccapoint.job.actions import WorkerRenew
from yuccapoint.job.actions import WorkerStart
from yuccapoint.job.actions import WorkerStop
from yuccapoint.job.actions import WorkerThrottle
from yuccapoint.job.lease_rules import VM_LEASE_S
from yuccapoint.job.task_manager import TaskManager
from yuccapoint_standins.worker_model import WorkerModel
from yuccapoint_standins.worker_model import WorkerRefusedError

if TYPE_CHECKING:
    from yuccapoint.job.actions import Action
    from yuccapoint.job.job import Job
    from yuccapoint.job.size import Size
    from yuccapoint.job.worker_events import TaskEnded
    from yuccapoint.job.worker_events import UsageSample

USAGE_EVERY_S = 0.5
RENEW_EVERY_S = 1.0


class UsageGuard(Protocol):
    """What a guard under measurement has."""

    def on_usage(
        self, samples: list[UsageSample], now_s: float
    ) -> list[Action]:
        """Weigh new samples."""


class SimulatedVm:
    """One VM whose leader always answers.

    Parameters
    ----------
    name : str
        Name of the VM.
    service : str
        Class of the service that runs on it.
    capacity : Size
        What it holds.

    Attributes
    ----------
    guard : UsageGuard or None
        The guard under measurement.
    evicted : list of tuple
        Job id and the true slowdown that each running task added by job
        id, at each eviction.
    explained : list of Explain
        The guard's decisions.
    throttles : list of tuple
        Time, job id and share of each throttle.
    """

    def __init__(self, name: str, service: str, capacity: Size) -> None:
        self.name = name
        self.service = service
        self.keeper = TaskManager(name, 1, capacity)
        self.keeper.on_inventory([])
        self.model = WorkerModel(capacity)
        self.model.vm = name
        self.model.service = service
        self.guard: UsageGuard | None = None
        self.evicted: list[tuple[str, dict[str, float]]] = []
        self.explained: list[Explain] = []
        self.throttles: list[tuple[float, str, float]] = []
        self._news = 0
        self._usage_at_s = 0.0
        self._renew_at_s = 0.0

    def start(
        self, job: Job, attempt: int, checkpoint: str, now_s: float
    ) -> None:
        """Start an attempt under a new lease."""
        starts = [StartAttempt(job, attempt, checkpoint)]
        self._grant(starts, [], now_s)

    def step(self, now_s: float) -> list[TaskEnded]:
        """Let time pass and give the attempts that ended."""
        if now_s >= self._renew_at_s:
            self._renew_at_s = now_s + RENEW_EVERY_S
            self._grant([], [], now_s)
        self.model.tick(now_s)
        ended = self.model.events_from(self._news)
        self._news = self.model.next_number
        for end in ended:
            self.keeper.on_ended(end)
            noted = AttemptAcknowledged(end.job_id, end.attempt)
            self._grant([], [noted], now_s)
        if self.guard is not None and now_s >= self._usage_at_s:
            self._usage_at_s = now_s + USAGE_EVERY_S
            samples = self.model.usage(now_s)
            self.act(self.guard.on_usage(samples, now_s), now_s)
        return ended

    def turns(self) -> int:
        """Count the changes of direction over all throttles."""
        shares: dict[str, float] = {}
        rises: dict[str, bool] = {}
        turns = 0
        for _, job_id, share in self.throttles:
            if share == shares.get(job_id, 1.0):
                continue
            rise = share > shares.get(job_id, 1.0)
            turns += job_id in rises and rises[job_id] != rise
            shares[job_id] = share
            rises[job_id] = rise
        return turns

    def act(self, actions: list[Action], now_s: float) -> None:
        """Carry out actions on the stand-in worker."""
        for action in actions:
            try:
                self._act(action, now_s)
            except WorkerRefusedError:
                continue

    def _act(self, action: Action, now_s: float) -> None:
        model = self.model
        if isinstance(action, WorkerStart):
            body = StartBody(
                action.job.size,
                action.job.job_class,
                action.job.command,
                action.checkpoint,
                action.lease_until_s,
            )
            model.start(action.job.job_id, action.attempt, body, now_s)
        elif isinstance(action, WorkerRenew):
            model.renew(action.lease_until_s)
        elif isinstance(action, WorkerStop):
            self._note_eviction(action.job_id)
            model.stop(action.job_id, action.attempt, now_s)
        elif isinstance(action, WorkerThrottle):
            self.throttles.append((now_s, action.job_id, action.share))
            model.throttle(action.job_id, action.attempt, action.share, now_s)
        elif isinstance(action, Explain):
            self.explained.append(action)

    def _note_eviction(self, job_id: str) -> None:
        if job_id not in self.model.tasks:
            return
        added = {}
        for task in self.model.tasks.values():
            added[task.job_id] = (
                self.model.slowdown_added_by(task) / task.share
            )
        self.evicted.append((job_id, added))

    def _grant(
        self,
        starts: list[StartAttempt],
        noted: list[AttemptAcknowledged],
        now_s: float,
    ) -> None:
        grant = LeaseGrant(
            entry="leader",
            vm=self.name,
            term=self.keeper.term,
            reply_to=self.keeper.next_sequence(now_s),
            ttl_s=VM_LEASE_S,
            starts=starts,
            stops=[],
            acknowledged=noted,
        )
        self.act(self.keeper.on_grant(grant, now_s), now_s)
