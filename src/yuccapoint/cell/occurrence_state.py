"""Stored state of an occurrence of a job."""

from __future__ import annotations

import enum

import msgspec


class Phase(enum.IntEnum):
    """Phase of a task."""

    WAITING = 0
    CLAIMED = 1
    DONE = 2


class Outcome(enum.StrEnum):
    """Final state of an occurrence or a job; empty while it is open."""

    OPEN = ""
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class WorkerInstance(msgspec.Struct, frozen=True, array_like=True):
    """One instance of the worker on a VM, from its start to its end.

    Attributes
    ----------
    vm : str
        Name of the VM.
    worker_id : str
        Id of the worker; a later instance may have the same one.
    born_ms : int
        Wall-clock time of the worker's start; identifies the instance.
    """

    vm: str
    worker_id: str
    born_ms: int


class TaskState(msgspec.Struct, array_like=True):
    """State of one task.

    ``instance`` is an index into the occurrence's instances, -1 while the
    task is not claimed; ``run`` is the number of the newest claim.
    """

    run: int = 0
    phase: Phase = Phase.WAITING
    instance: int = -1
    failures: int = 0
    checkpoint: str = ""


class TaskCrashes(msgspec.Struct, array_like=True):
    """Runs of a task that may have crashed their workers.

    ``doubtful`` of them have probably not, ``known`` of the others are known
    to have started on these workers.
    """

    step: int
    index: int
    runs: list[int]
    known: int
    doubtful: int = 0


class GangFailures(msgspec.Struct, array_like=True):
    """How many runs of a gang have failed, and the newest of them.

    A run has failed if at least one member has.
    """

    step: int
    failures: int
    run: int


class OccurrenceState(msgspec.Struct, array_like=True):
    """State of one occurrence, with its tasks by step.

    ``begun`` tells whether a worker ever ran one of them; a claimed run may
    still be refused. ``crashes`` has an entry for each task that is suspected
    of crashing the workers that start it, ``gang_failures`` for each gang
    that has failed.
    """

    outcome: Outcome
    instances: list[WorkerInstance]
    steps: list[list[TaskState]]
    begun: bool = False
    crashes: list[TaskCrashes] = []
    gang_failures: list[GangFailures] = []
