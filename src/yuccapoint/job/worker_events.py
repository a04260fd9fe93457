"""Messages from the platform's worker to the agent."""

from __future__ import annotations

import msgspec

from yuccapoint.job.size import Size


class RunningTask(msgspec.Struct, frozen=True):
    """A task that is running on the worker."""

    job_id: str
    attempt: int
    size: Size
    job_class: str


class TaskEnded(msgspec.Struct, frozen=True):
    """The end of a task, with an ``outcome`` as in ``TaskReport``."""

    job_id: str
    attempt: int
    outcome: str
    reason: str
    checkpoint: str


class UsageSample(msgspec.Struct, frozen=True):
    """A measurement of the service, delivered with a delay.

    Attributes
    ----------
    described_at_s : float
        Time that the measurement describes, on the VM's monotonic clock.
    service_slowdown : float
        Ratio of the service time to that on an idle VM; 1 is undisturbed.
    job_ids : list of str
        Batch tasks that ran at that time.
    """

    described_at_s: float
    service_slowdown: float
    job_ids: list[str]


class WorkerEventPage(msgspec.Struct, frozen=True):
    """A page of the worker's events."""

    next_number: int
    ended: list[TaskEnded]


class Inventory(msgspec.Struct, frozen=True):
    """Capacity and running tasks of a worker."""

    capacity: Size
    running: list[RunningTask]
    next_number: int
