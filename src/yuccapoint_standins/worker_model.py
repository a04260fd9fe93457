"""The tasks of the stand-in worker, without a network."""

from __future__ import annotations

import collections
import random
from typing import TYPE_CHECKING

from yuccapoint.job.size import Size
from yuccapoint.job.worker_events import RunningTask
from yuccapoint.job.worker_events import TaskEnded
from yuccapoint.job.worker_events import UsageSample
from yuccapoint_standins.lagging_usage import LaggingUsage
from yuccapoint_standins.lagging_usage import UsageFaults

if TYPE_CHECKING:
    from yuccapoint.connection.http_worker import StartBody
    from yuccapoint_standins.hidden_interference import HiddenInterference

USAGE_INTERVAL_S = 0.25
MAX_EVENTS = 10_000
DEFAULT_RUN_S = 1.0


class WorkerRefusedError(Exception):
    """The worker refused a call."""


class TaskModel:
    """A running task with properties hidden from the scheduler.

    Attributes
    ----------
    run_s : float
        True run time at full speed.
    noise : float
        Slowdown that the task adds to the service on the VM.
    progress_s : float
        Work done so far, as run time at full speed.
    """

    __slots__ = (
        "attempt",
        "fails",
        "job_class",
        "job_id",
        "lease_until_s",
        "noise",
        "progress_at_s",
        "progress_s",
        "run_s",
        "share",
        "size",
    )

    def __init__(
        self, job_id: str, attempt: int, body: StartBody, now_s: float
    ) -> None:
        options = parse_command(body.command)
        self.job_id = job_id
        self.attempt = attempt
        self.job_class = body.job_class
        self.size = body.size
        self.lease_until_s = body.lease_until_s
        self.run_s = options.get("run_s", DEFAULT_RUN_S)
        self.noise = options.get("noise", 0.0)
        self.fails = options.get("fails", 0.0) > 0
        self.share = 1.0
        self.progress_s = float(body.checkpoint or 0.0)
        self.progress_at_s = now_s


class WorkerModel:
    """Runs tasks under leases that it enforces itself.

    Parameters
    ----------
    capacity : Size
        Capacity of the VM.

    Attributes
    ----------
    fails_all : bool
        Whether each task fails as soon as it starts.
    usage_samples : LaggingUsage
        Measurements in transit.
    interference : HiddenInterference or None
        The true interference in addition to the ``noise`` of commands.
    vm, service : str
        Names that select the hidden interference.
    overcommit_count : int
        Number of starts that exceeded the capacity; must stay 0.
    """

    def __init__(self, capacity: Size) -> None:
        self.capacity = capacity
        self.fails_all = False
        self.tasks: dict[str, TaskModel] = {}
        self.newest_attempts: dict[str, int] = {}
        self.first_number = 0
        self.events: collections.deque[TaskEnded] = collections.deque()
        self.usage_samples = LaggingUsage(UsageFaults(), random.Random(0))
        self.interference: HiddenInterference | None = None
        self.vm = ""
        self.service = ""
        self.overcommit_count = 0
        self._now_s = 0.0
        self._sampled_at_s = 0.0

    @property
    def next_number(self) -> int:
        """Number of the next event."""
        return self.first_number + len(self.events)

    @property
    def slowdown(self) -> float:
        """The current true slowdown of a service on this VM."""
        slowdown = 1.0
        for task in self.tasks.values():
            slowdown += self.slowdown_added_by(task)
        if self.interference is not None:
            slowdown += self.interference.own_load_slowdown(
                self.vm, self._now_s
            )
        return slowdown

    def slowdown_added_by(self, task: TaskModel) -> float:
        """Return the true slowdown that a task adds at present."""
        noise = task.noise
        if self.interference is not None:
            noise += self.interference.slowdown(
                self.service, task.job_class, self._now_s
            )
        return noise * task.share

    def start(
        self, job_id: str, attempt: int, body: StartBody, now_s: float
    ) -> None:
        """Start a task.

        Raises
        ------
        WorkerRefusedError
            The attempt is not newer than the last one or the lease has
            expired.
        """
        if attempt <= self.newest_attempts.get(job_id, 0):
            raise WorkerRefusedError(
                "the same or a newer attempt was started here"
            )
        if now_s >= body.lease_until_s:
            raise WorkerRefusedError("the lease has expired")
        self.newest_attempts[job_id] = attempt
        self.tasks[job_id] = TaskModel(job_id, attempt, body, now_s)
        reserved = Size()
        for task in self.tasks.values():
            reserved = reserved + task.size
        if not reserved.fits(self.capacity):
            self.overcommit_count += 1

    def renew(self, lease_until_s: float) -> None:
        """Extend the lease of all tasks."""
        for task in self.tasks.values():
            task.lease_until_s = max(task.lease_until_s, lease_until_s)

    def throttle(
        self, job_id: str, attempt: int, share: float, now_s: float
    ) -> None:
        """Limit a task to a share of its speed."""
        task = self._find_task(job_id, attempt)
        self._advance(task, now_s)
        task.share = share

    def stop(self, job_id: str, attempt: int, now_s: float) -> None:
        """Checkpoint a task and stop it."""
        task = self._find_task(job_id, attempt)
        self._advance(task, now_s)
        self._end_task(task, "stopped", "")

    def tick(self, now_s: float) -> None:
        """Advance and finish tasks, enforce leases and sample the usage."""
        self._now_s = now_s
        for task in list(self.tasks.values()):
            if now_s >= task.lease_until_s:
                self._advance(task, task.lease_until_s)
                self._end_task(task, "lapsed", "the lease expired")
                continue
            self._advance(task, now_s)
            if self.fails_all or (task.fails and task.progress_s > 0):
                self._end_task(task, "failed", "exit code 1")
                continue
            if task.progress_s >= task.run_s:
                self._end_task(task, "done", "")
        if now_s >= self._sampled_at_s + USAGE_INTERVAL_S:
            self._sampled_at_s = now_s
            self.usage_samples.record(
                UsageSample(now_s, self.slowdown, list(self.tasks))
            )

    def usage(self, now_s: float) -> list[UsageSample]:
        """Return the measurements that have arrived."""
        return self.usage_samples.arrived_samples(now_s)

    def running(self) -> list[RunningTask]:
        """Return the running tasks."""
        return [
            RunningTask(task.job_id, task.attempt, task.size, task.job_class)
            for task in self.tasks.values()
        ]

    def events_from(self, from_number: int) -> list[TaskEnded]:
        """Return the events from a number on."""
        start = max(0, from_number - self.first_number)
        return list(self.events)[start:]

    def _find_task(self, job_id: str, attempt: int) -> TaskModel:
        task = self.tasks.get(job_id)
        if task is None or task.attempt != attempt:
            raise WorkerRefusedError("the task is not running here")
        return task

    def _advance(self, task: TaskModel, now_s: float) -> None:
        task.progress_s += max(0.0, now_s - task.progress_at_s) * task.share
        task.progress_at_s = max(now_s, task.progress_at_s)

    def _end_task(self, task: TaskModel, outcome: str, reason: str) -> None:
        del self.tasks[task.job_id]
        checkpoint = f"{min(task.progress_s, task.run_s):.3f}"
        self.events.append(
            TaskEnded(task.job_id, task.attempt, outcome, reason, checkpoint)
        )
        if len(self.events) > MAX_EVENTS:
            self.events.popleft()
            self.first_number += 1


def parse_command(command: str) -> dict[str, float]:
    """Parse the options of a command such as ``run_s=3 noise=0.5``."""
    options = {}
    for word in command.split():
        name, _, value = word.partition("=")
        try:
            options[name] = float(value)
        except ValueError:
            continue
    return options
