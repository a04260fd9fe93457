"""Messages and calls between an agent and its worker."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.cell.cell_messages import EndedRun
    from yuccapoint.cell.cell_messages import RunningTask
    from yuccapoint.cell.cell_messages import StartOrder
    from yuccapoint.cell.occurrence_state import WorkerInstance
    from yuccapoint.job.size import Size


class CallResult(enum.Enum):
    """Result of a call to the worker."""

    DONE = "done"
    REFUSED = "refused"
    UNHEALTHY = "unhealthy"
    OTHER_INSTANCE = "other-life"
    UNANSWERED = "unanswered"


class CheckIn:
    """A worker's periodic report of its own state."""

    __slots__ = (
        "address",
        "capacity",
        "clock_ms",
        "draining",
        "instance",
        "labels",
        "pool",
        "remaining_ms",
        "sequence",
    )

    def __init__(
        self,
        *,
        instance: WorkerInstance,
        pool: str,
        address: str,
        capacity: Size,
        labels: tuple[str, ...],
        draining: bool,
        remaining_ms: int,
        clock_ms: int,
        sequence: int,
    ) -> None:
        self.instance = instance
        self.pool = pool
        self.address = address
        self.capacity = capacity
        self.labels = labels
        self.draining = draining
        self.remaining_ms = remaining_ms
        self.clock_ms = clock_ms
        self.sequence = sequence


class WorkerStatus:
    """Runs and run ends in the worker's answer to a status request."""

    __slots__ = ("born_ms", "clock_ms", "ends", "running")

    def __init__(
        self,
        *,
        clock_ms: int,
        born_ms: int,
        running: tuple[RunningTask, ...],
        ends: tuple[EndedRun, ...],
    ) -> None:
        self.clock_ms = clock_ms
        self.born_ms = born_ms
        self.running = running
        self.ends = ends


class StatusRequest:
    """A request for the worker's status, which also renews its lease.

    Attributes
    ----------
    instance : WorkerInstance
        Instance of the worker that the request is meant for; a later one
        with the same id answers it too.
    """

    __slots__ = (
        "instance",
        "last_seen",
        "lease_until_clock_ms",
        "term",
        "wait_ms",
    )

    def __init__(
        self,
        instance: WorkerInstance,
        term: int,
        last_seen: int,
        lease_until_clock_ms: int | None,
        wait_ms: int,
    ) -> None:
        self.instance = instance
        self.term = term
        self.last_seen = last_seen
        self.lease_until_clock_ms = lease_until_clock_ms
        self.wait_ms = wait_ms


class StartCall:
    """Start a run on the worker."""

    __slots__ = ("lease_until_clock_ms", "order", "term")

    def __init__(
        self, order: StartOrder, term: int, lease_until_clock_ms: int
    ) -> None:
        self.order = order
        self.term = term
        self.lease_until_clock_ms = lease_until_clock_ms


class StopCall:
    """Stop a run on the worker, or block its later start."""

    __slots__ = ("run", "task_id", "term")

    def __init__(self, task_id: str, run: int, term: int) -> None:
        self.task_id = task_id
        self.run = run
        self.term = term


class PaceCall:
    """Limit a run to a percentage of its speed."""

    __slots__ = ("percent", "run", "task_id", "term")

    def __init__(
        self, task_id: str, run: int, percent: int, term: int
    ) -> None:
        self.task_id = task_id
        self.run = run
        self.percent = percent
        self.term = term


WorkerCall = StartCall | StopCall | PaceCall
