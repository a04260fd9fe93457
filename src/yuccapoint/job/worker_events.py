"""What the platform's worker tells the agent."""

from __future__ import annotations

import msgspec

from yuccapoint.job.size import Size


class RunningTask(msgspec.Struct, frozen=True):
    """A task that the worker runs."""

    job_id: str
    attempt: int
    size: Size
    job_class: str


class TaskEnded(msgspec.Struct, frozen=True):
    """The end of a task; ``outcome`` as in ``TaskReport``."""

    job_id: str
    attempt: int
    outcome: str
    reason: str
    checkpoint: str


class UsageSample(msgspec.Struct, frozen=True):
    """A lagging measurement.

    Attributes
    ----------
    described_at_s : float
        When it was so, on the VM's monotonic clock.
    service_slowdown : float
        Service time against that of an idle VM; 1 is undisturbed.
    job_ids : list of str
        Batch tasks that ran then.
    """

    described_at_s: float
    service_slowdown: float
    job_ids: list[str]


class WorkerEventPage(msgspec.Struct, frozen=True):
    """A page of the worker's events."""

    next_number: int
    ended: list[TaskEnded]


class Inventory(msgspec.Struct, frozen=True):
    """All that a worker holds and runs."""

    capacity: Size
    running: list[RunningTask]
    next_number: int
