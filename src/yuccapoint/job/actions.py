"""Side effects that decision logic requests from its process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.connection.messages import ControlMessage
    from yuccapoint.job.job import Job
    from yuccapoint.job.records import Record


class Append:
    """Append a record to the log, ahead of others if it is urgent."""

    __slots__ = ("record", "urgent")

    def __init__(self, record: Record, *, urgent: bool = False) -> None:
        self.record = record
        self.urgent = urgent


class Send:
    """Send a control message to an address."""

    __slots__ = ("address", "message")

    def __init__(self, address: str, message: ControlMessage) -> None:
        self.address = address
        self.message = message


class Explain:
    """Log a decision and the values it is based on.

    Attributes
    ----------
    part : str
        Name of the deciding component, used as prefix of the log line.
    text : str
        Short description of the decision.
    fields : dict
        Values that the decision is based on.
    """

    __slots__ = ("fields", "part", "text")

    def __init__(
        self, part: str, text: str, fields: dict[str, str | int | float]
    ) -> None:
        self.part = part
        self.text = text
        self.fields = fields


class WorkerStart:
    """Start a task on the worker under a lease."""

    __slots__ = ("attempt", "checkpoint", "job", "lease_until_s")

    def __init__(
        self, job: Job, attempt: int, checkpoint: str, lease_until_s: float
    ) -> None:
        self.job = job
        self.attempt = attempt
        self.checkpoint = checkpoint
        self.lease_until_s = lease_until_s


class WorkerRenew:
    """Renew the lease of all tasks on the worker."""

    __slots__ = ("lease_until_s",)

    def __init__(self, lease_until_s: float) -> None:
        self.lease_until_s = lease_until_s


class WorkerStop:
    """Checkpoint a task and stop it."""

    __slots__ = ("attempt", "job_id", "reason")

    def __init__(self, job_id: str, attempt: int, reason: str) -> None:
        self.job_id = job_id
        self.attempt = attempt
        self.reason = reason


class WorkerThrottle:
    """Throttle a task to a share of its requested processors."""

    __slots__ = ("attempt", "job_id", "share")

    def __init__(self, job_id: str, attempt: int, share: float) -> None:
        self.job_id = job_id
        self.attempt = attempt
        self.share = share


Action = (
    Append
    | Send
    | Explain
    | WorkerStart
    | WorkerRenew
    | WorkerStop
    | WorkerThrottle
)
