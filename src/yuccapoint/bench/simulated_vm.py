"""A simulated VM: real task manager and guard, stand-in worker."""

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

USAGE_INTERVAL_S = 0.5
RENEW_INTERVAL_S = 1.0


class UsageGuard(Protocol):
    """Interface of the guards that are compared."""

    def on_usage(
        self, samples: list[UsageSample], now_s: float
    ) -> list[Action]:
        """Process new samples and return the resulting actions."""


class SimulatedVm:
    """A VM whose leader always responds.

    Parameters
    ----------
    name : str
        Name of the VM.
    service : str
        Class of the service that runs on the VM.
    capacity : Size
        Resources for batch tasks.

    Attributes
    ----------
    guard : UsageGuard or None
        The guard under measurement.
    evicted : list of tuple
        For each eviction, the job id and the true slowdown caused by each
        running task at full share, by job id.
    explained : list of Explain
        Decisions that the guard logged.
    throttles : list of tuple
        Time, job id and share of each throttle action.
    """

    def __init__(self, name: str, service: str, capacity: Size) -> None:
        self.name = name
        self.service = service
        self.task_manager = TaskManager(name, 1, capacity)
        self.task_manager.on_inventory([])
        self.model = WorkerModel(capacity)
        self.model.vm = name
        self.model.service = service
        self.guard: UsageGuard | None = None
        self.evicted: list[tuple[str, dict[str, float]]] = []
        self.explained: list[Explain] = []
        self.throttles: list[tuple[float, str, float]] = []
        self._next_event_number = 0
        self._next_usage_s = 0.0
        self._next_renewal_s = 0.0

    def start(
        self, job: Job, attempt: int, checkpoint: str, now_s: float
    ) -> None:
        """Start an attempt under a new lease."""
        starts = [StartAttempt(job, attempt, checkpoint)]
        self._grant(starts, [], now_s)

    def step(self, now_s: float) -> list[TaskEnded]:
        """Advance to a point in time and return the attempts that ended."""
        if now_s >= self._next_renewal_s:
            self._next_renewal_s = now_s + RENEW_INTERVAL_S
            self._grant([], [], now_s)
        self.model.tick(now_s)
        ended = self.model.events_from(self._next_event_number)
        self._next_event_number = self.model.next_number
        for end in ended:
            self.task_manager.on_ended(end)
            acknowledgement = AttemptAcknowledged(end.job_id, end.attempt)
            self._grant([], [acknowledgement], now_s)
        if self.guard is not None and now_s >= self._next_usage_s:
            self._next_usage_s = now_s + USAGE_INTERVAL_S
            samples = self.model.usage(now_s)
            self.apply_actions(self.guard.on_usage(samples, now_s), now_s)
        return ended

    def throttle_reversals(self) -> int:
        """Count how often a throttle of any task changed direction."""
        shares: dict[str, float] = {}
        rising: dict[str, bool] = {}
        throttle_reversals = 0
        for _, job_id, share in self.throttles:
            if share == shares.get(job_id, 1.0):
                continue
            is_rise = share > shares.get(job_id, 1.0)
            throttle_reversals += (
                job_id in rising and rising[job_id] != is_rise
            )
            shares[job_id] = share
            rising[job_id] = is_rise
        return throttle_reversals

    def apply_actions(self, actions: list[Action], now_s: float) -> None:
        """Apply actions to the stand-in worker; ignore those it refuses."""
        for action in actions:
            try:
                self._apply_action(action, now_s)
            except WorkerRefusedError:
                continue

    def _apply_action(self, action: Action, now_s: float) -> None:
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
            self._record_eviction(action.job_id)
            model.stop(action.job_id, action.attempt, now_s)
        elif isinstance(action, WorkerThrottle):
            self.throttles.append((now_s, action.job_id, action.share))
            model.throttle(action.job_id, action.attempt, action.share, now_s)
        elif isinstance(action, Explain):
            self.explained.append(action)

    def _record_eviction(self, job_id: str) -> None:
        if job_id not in self.model.tasks:
            return
        slowdowns = {}
        for task in self.model.tasks.values():
            slowdowns[task.job_id] = (
                self.model.slowdown_added_by(task) / task.share
            )
        self.evicted.append((job_id, slowdowns))

    def _grant(
        self,
        starts: list[StartAttempt],
        acknowledgements: list[AttemptAcknowledged],
        now_s: float,
    ) -> None:
        grant = LeaseGrant(
            entry="leader",
            vm=self.name,
            term=self.task_manager.term,
            reply_to=self.task_manager.next_sequence(now_s),
            ttl_s=VM_LEASE_S,
            starts=starts,
            stops=[],
            acknowledged=acknowledgements,
        )
        self.apply_actions(self.task_manager.on_grant(grant, now_s), now_s)
