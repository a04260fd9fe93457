"""Interface through which callers' jobs reach a cell."""

from __future__ import annotations

import enum
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.cell.submission import Submission
    from yuccapoint.version.queue_table import QueueRoute
    from yuccapoint.version.queue_table import QueueTable


class GatewayResult(enum.Enum):
    """Result of a submission or a cancellation."""

    ACCEPTED = "accepted"
    UNKNOWN_JOB = "unknown-job"
    REFUSED = "refused"
    MAY_BE_ACCEPTED = "may-be-accepted"
    ID_IN_USE = "id-in-use"


class JobGateway(Protocol):
    """Accepts and cancels jobs and returns their states."""

    @property
    def table(self) -> QueueTable | None:
        """The current routes; None before the first were read."""

    @property
    def ready(self) -> bool:
        """Whether this process is ready for callers."""

    @property
    def stopping(self) -> bool:
        """Whether this process is about to stop as planned."""

    @property
    def up_to_date(self) -> bool:
        """Whether a job that is unknown here does not exist."""

    @property
    def retry_after_s(self) -> int:
        """Seconds after which a refused caller should retry."""

    async def submit(
        self, submission: Submission, deadline_s: float
    ) -> GatewayResult:
        """Accept a job durably, or refuse it.

        An id that a job of another queue has is refused for good.
        """

    async def cancel(
        self, route: QueueRoute, job_id: str, deadline_s: float
    ) -> GatewayResult:
        """Cancel a job durably, also one that is not stored yet."""

    async def state(
        self, route: QueueRoute, job_id: str, deadline_s: float
    ) -> str | None:
        """Return the state of a job; None if the queue has no such job."""

    def count_pending(self, route: QueueRoute) -> int:
        """Count a queue's accepted jobs of which no task has started."""

    def log_invalid_job(self, job_id: str, why: str) -> None:
        """Log a job that can't be decoded."""

    def log_fault(self, path: str, error: str) -> None:
        """Log an internal error."""

    def log_interrupted(self, path: str) -> None:
        """Log a request that is answered unfinished at the end of a stop."""

    def log_caller_gone(self, path: str, status: int) -> None:
        """Log that a caller did not wait for its answer."""
