"""Interface of the platform's worker."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from yuccapoint.exceptions import YuccapointError
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    from yuccapoint.job.actions import WorkerStart
    from yuccapoint.job.worker_events import Inventory
    from yuccapoint.job.worker_events import UsageSample
    from yuccapoint.job.worker_events import WorkerEventPage


class WorkerError(YuccapointError):
    """The worker refused a call or could not be reached."""


class WorkerUnreachableError(WorkerError):
    """No response came; the worker may have executed the call."""

    verdict = Verdict.MAY_HAVE_RUN


class WorkerPort(Protocol):
    """The operations that yuccapoint needs from a worker.

    Lease deadlines are on the VM's monotonic clock, which the agent and
    the worker share; the worker stops a task whose lease has passed.
    """

    async def inventory(self) -> Inventory:
        """Return everything that the worker holds and runs."""

    async def start(self, start: WorkerStart) -> None:
        """Start a task under a lease.

        Raises
        ------
        WorkerUnreachableError
            The task may have started; a retry is refused in that case.
        WorkerError
            The worker refused; no late copy of the call can start the task.
        """

    async def renew(self, lease_until_s: float) -> None:
        """Extend the lease of all tasks."""

    async def throttle(self, job_id: str, attempt: int, share: float) -> None:
        """Limit a task to a share of its processors."""

    async def stop(self, job_id: str, attempt: int) -> None:
        """Checkpoint a task and stop it."""

    async def wait_for_events(self, from_event: int) -> WorkerEventPage:
        """Wait for task-end events, from an event number on."""

    async def usage(self) -> list[UsageSample]:
        """Return the latest usage samples, which lag behind."""
