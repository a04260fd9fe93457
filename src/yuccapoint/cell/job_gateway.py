"""The port through which callers' jobs reach a cell."""

from __future__ import annotations

import enum
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.cell.submission import Submission
    from yuccapoint.version.queue_table import QueueTable


class GatewayResult(enum.Enum):
    """What became of a submission or a cancellation."""

    ACCEPTED = "accepted"
    UNKNOWN_JOB = "unknown-job"
    REFUSED = "refused"
    MAY_BE_ACCEPTED = "may-be-accepted"


class JobGateway(Protocol):
    """Takes jobs in and knows their states."""

    @property
    def table(self) -> QueueTable | None:
        """The routes in force; None before the first."""

    @property
    def ready(self) -> bool:
        """Whether callers should come here."""

    @property
    def stopping(self) -> bool:
        """Whether this process is about to end as planned."""

    @property
    def up_to_date(self) -> bool:
        """Whether a job that is not known here does not exist."""

    @property
    def retry_after_s(self) -> int:
        """When a refused caller should come back, in seconds."""

    async def submit(
        self, submission: Submission, deadline_s: float
    ) -> GatewayResult:
        """Accept a job for good, or refuse it."""

    async def cancel(
        self, route: str, job_id: str, deadline_s: float
    ) -> GatewayResult:
        """Cancel a job for good."""

    async def state(self, route: str, job_id: str) -> str | None:
        """Give the state of a job; None when there is no such job."""

    def count_pending(self, route: str) -> int:
        """Count accepted jobs of which no task has started."""

    def log_invalid_job(self, job_id: str, why: str) -> None:
        """Log a job that can't be read."""

    def log_fault(self, path: str, error: str) -> None:
        """Log a fault of this process."""

    def log_caller_gone(self, path: str, status: int) -> None:
        """Log an answer that its caller no longer waited for."""
