"""How far an occurrence of a job is, as the store keeps it."""

from __future__ import annotations

import enum

import msgspec


class Phase(enum.IntEnum):
    """What became of a task."""

    WAITING = 0
    CLAIMED = 1
    DONE = 2


class Outcome(enum.StrEnum):
    """How an occurrence or a job ended."""

    OPEN = ""
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class WorkerInstance(msgspec.Struct, frozen=True, array_like=True):
    """One life of the worker on a VM.

    Attributes
    ----------
    vm : str
        Name of the VM.
    worker_id : str
        Id that the worker goes by; a later life may have it too.
    born_ms : int
        Wall-clock time of the worker's start; tells lives apart.
    """

    vm: str
    worker_id: str
    born_ms: int


class TaskState(msgspec.Struct, array_like=True):
    """State of one task.

    ``instance`` is an index into the occurrence's lives, -1 while the task
    is not claimed; ``run`` is the number of the newest claim.
    """

    run: int = 0
    phase: Phase = Phase.WAITING
    instance: int = -1
    failures: int = 0
    checkpoint: str = ""


class OccurrenceState(msgspec.Struct, array_like=True):
    """State of one occurrence: its tasks by step."""

    outcome: Outcome
    instances: list[WorkerInstance]
    steps: list[list[TaskState]]
