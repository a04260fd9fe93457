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
    # Executed by a later instance than the one that it was meant for.
    NEXT_INSTANCE = "next-instance"


class CallAnswer:
    """The answer to a call.

    Attributes
    ----------
    result : CallResult
        What became of the call.
    reason : str
        Why the worker refused or did not answer it; empty if it was done.
    clock_ms : int or None
        The worker's clock in milliseconds; None if the answer has none.
    """

    __slots__ = ("clock_ms", "reason", "result")

    def __init__(
        self,
        result: CallResult,
        reason: str = "",
        clock_ms: int | None = None,
    ) -> None:
        self.result = result
        self.reason = reason
        self.clock_ms = clock_ms


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
    fence : int
        Number of the instance in the fencing token.
    """

    __slots__ = (
        "fence",
        "instance",
        "last_seen",
        "lease_until_clock_ms",
        "term",
        "wait_ms",
    )

    def __init__(
        self,
        instance: WorkerInstance,
        fence: int,
        term: int,
        last_seen: int,
        lease_until_clock_ms: int | None,
        wait_ms: int,
    ) -> None:
        self.instance = instance
        self.fence = fence
        self.term = term
        self.last_seen = last_seen
        self.lease_until_clock_ms = lease_until_clock_ms
        self.wait_ms = wait_ms


class InstanceCall:
    """A call that is meant for one instance of the worker.

    A later instance with the same id executes it too, until it has seen a
    call of its own.

    Attributes
    ----------
    instance : WorkerInstance or None
        The instance; None until the call is addressed.
    fence : int
        Number of the instance in the fencing token.
    least_clock_ms : int
        Least time that the instance's clock could show when the call was
        made, in milliseconds.
    """

    __slots__ = ("fence", "instance", "least_clock_ms")

    def __init__(self) -> None:
        self.instance: WorkerInstance | None = None
        self.fence = 0
        self.least_clock_ms = 0

    def address_to(
        self, instance: WorkerInstance, fence: int, least_clock_ms: int
    ) -> None:
        """Set the instance that the call is meant for, and its clock."""
        self.instance = instance
        self.fence = fence
        self.least_clock_ms = least_clock_ms

    def was_answered_by_next(self, clock_ms: int | None) -> bool:
        """Return whether the clock in the answer is that of a later one."""
        return clock_ms is not None and clock_ms < self.least_clock_ms


class StartCall(InstanceCall):
    """Start a run on the worker."""

    __slots__ = ("lease_until_clock_ms", "order", "term")

    def __init__(
        self, order: StartOrder, term: int, lease_until_clock_ms: int
    ) -> None:
        super().__init__()
        self.order = order
        self.term = term
        self.lease_until_clock_ms = lease_until_clock_ms


class StopCall(InstanceCall):
    """Stop a run on the worker, or block its later start."""

    __slots__ = ("run", "task_id", "term")

    def __init__(self, task_id: str, run: int, term: int) -> None:
        super().__init__()
        self.task_id = task_id
        self.run = run
        self.term = term


class PaceCall(InstanceCall):
    """Limit a run to a percentage of its speed."""

    __slots__ = ("percent", "run", "task_id", "term")

    def __init__(
        self, task_id: str, run: int, percent: int, term: int
    ) -> None:
        super().__init__()
        self.task_id = task_id
        self.run = run
        self.percent = percent
        self.term = term


WorkerCall = StartCall | StopCall | PaceCall
