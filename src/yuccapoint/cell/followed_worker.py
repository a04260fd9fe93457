"""The worker that an agent follows, as its check-ins and answers show it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.cell_messages import REASON_DRAINING
from yuccapoint.cell.cell_messages import REASON_UNREACHABLE
from yuccapoint.cell.cell_messages import WorkerReport
from yuccapoint.cell.worker_clock import WorkerClock
from yuccapoint.cell.worker_fence import WorkerFence

if TYPE_CHECKING:
    from yuccapoint.cell.worker_events import CheckIn
    from yuccapoint.cell.worker_events import WorkerStatus
    from yuccapoint.cell.worker_lease import WorkerLease

# After this many unanswered status requests the worker's lease is no longer
# renewed.
MAX_FAILED_STATUS_REQUESTS = 2


class FollowedWorker:
    """Tracks the present instance of a VM's worker.

    Parameters
    ----------
    lease : WorkerLease
        Lease of the worker.

    Attributes
    ----------
    check_in : CheckIn or None
        Newest check-in.
    fence : WorkerFence
        Number of the present instance in the tokens of its calls.
    clock : WorkerClock
        Bounds of its clock.
    failed_status_requests : int
        How many status requests in a row were not answered.
    answered_by_born_ms : int or None
        Start time of the instance that answered a poll meant for another.
    has_answered : bool
        Whether a worker has answered a poll under its start time. The first
        check-in may be from another writer, and the leader releases the
        claims of an instance once a later one is reported.
    withheld_since_s : float
        When the present instance checked in, while the leader has not been
        told of it; 0 else.
    """

    __slots__ = (
        "_drain_until_s",
        "_lease",
        "_leave_announced_at_s",
        "answered_by_born_ms",
        "check_in",
        "clock",
        "failed_status_requests",
        "fence",
        "has_answered",
        "withheld_since_s",
    )

    def __init__(self, lease: WorkerLease) -> None:
        self.check_in: CheckIn | None = None
        self.clock = WorkerClock()
        self.fence = WorkerFence()
        self.failed_status_requests = 0
        self.answered_by_born_ms: int | None = None
        self.has_answered = False
        self.withheld_since_s = 0.0
        self._lease = lease
        self._drain_until_s = 0.0
        self._leave_announced_at_s: float | None = None

    @property
    def is_draining(self) -> bool:
        """Whether the worker drains before a planned end."""
        return self.check_in is not None and self.check_in.draining

    @property
    def has_announced_end(self) -> bool:
        """Whether the worker ends as planned."""
        return self.is_draining or self._leave_announced_at_s is not None

    @property
    def is_unreachable(self) -> bool:
        """Whether the worker leaves too many status requests unanswered."""
        return self.failed_status_requests >= MAX_FAILED_STATUS_REQUESTS

    @property
    def millicores(self) -> int:
        """Processors of the worker; 0 while none has checked in."""
        check_in = self.check_in
        return 0 if check_in is None else check_in.capacity.millicores

    @property
    def refusal(self) -> str:
        """Why the worker gets no new run; empty if it does."""
        if self.is_draining:
            return REASON_DRAINING
        if self.is_unreachable:
            # A start would stay unanswered until the lease has expired.
            return REASON_UNREACHABLE
        if self.answered_by_born_ms is not None:
            # The instance that the leader knows is gone.
            return REASON_UNREACHABLE
        if self._leave_announced_at_s is not None:
            # The next poll tells whether it is gone.
            return REASON_UNREACHABLE
        return ""

    def is_newer(self, check_in: CheckIn, now_s: float) -> bool:
        """Return whether a check-in is newer than the last one."""
        previous = self.check_in
        if previous is None:
            return True
        if check_in.instance == previous.instance:
            return not self._is_outdated(check_in, previous, now_s)
        if check_in.instance.born_ms >= previous.instance.born_ms:
            return True
        return self._has_replaced(check_in, previous, now_s)

    def _is_outdated(
        self, check_in: CheckIn, previous: CheckIn, now_s: float
    ) -> bool:
        """Return whether a check-in is older than that of the same instance.

        The worker's clock orders them, as polls bound it. A sequence number
        of another writer would hide all later check-ins.
        """
        if self.clock.is_ahead(check_in.clock_ms, now_s):
            return True
        if self.clock.is_ahead(previous.clock_ms, now_s):
            return False
        if check_in.clock_ms != previous.clock_ms:
            return check_in.clock_ms < previous.clock_ms
        return check_in.sequence <= previous.sequence

    def _has_replaced(
        self, check_in: CheckIn, previous: CheckIn, now_s: float
    ) -> bool:
        """Return whether an instance born earlier is the worker's newest.

        Its start time is lower if the time of day was set back. A delayed
        check-in of a former instance has a lower one too.
        """
        if check_in.instance.worker_id == previous.instance.worker_id:
            return check_in.instance.born_ms == self.answered_by_born_ms
        # Polls name the id, so that another one does not answer them.
        return self.is_lease_expired(now_s)

    def begin_instance(self, now_s: float) -> None:
        """Drop what is known of the former instance."""
        self.failed_status_requests = 0
        self.answered_by_born_ms = None
        self.withheld_since_s = now_s
        self._leave_announced_at_s = None
        self.clock.reset_bound()

    def on_check_in(self, check_in: CheckIn, now_s: float) -> None:
        """Apply a check-in that is newer than the last one."""
        self.check_in = check_in
        self.clock.set(check_in.clock_ms, now_s)
        self._drain_until_s = now_s + check_in.remaining_ms / 1000

    def announce_leave(self, now_s: float) -> None:
        """Note a notice that the worker ends now.

        It does not name the instance, and a delayed one may be from a former
        instance of the same id. The leader is told of a planned end by
        check-ins only, as it gives an instance that drains no more work.
        """
        self._leave_announced_at_s = now_s

    def withdraw_leave(self, sent_at_s: float) -> bool:
        """Return whether an answer disproves a notice of the worker's end.

        Parameters
        ----------
        sent_at_s : float
            When the request was sent that the present instance answered, as
            steady time in seconds. The worker may answer an earlier one just
            before its end.
        """
        left_at_s = self._leave_announced_at_s
        if left_at_s is None or sent_at_s <= left_at_s:
            return False
        self._leave_announced_at_s = None
        return True

    def on_answered(
        self, status: WorkerStatus, sent_at_s: float, now_s: float
    ) -> None:
        """Note that the present instance answered a call of its own.

        Parameters
        ----------
        status : WorkerStatus
            The answer.
        sent_at_s, now_s : float
            When the request was sent, and steady time in seconds.
        """
        self.failed_status_requests = 0
        self.answered_by_born_ms = None
        self.clock.set(status.clock_ms, now_s)
        self.clock.bound(status.clock_ms, sent_at_s)
        self.has_answered = True

    def is_lease_expired(self, now_s: float) -> bool:
        """Return whether the worker is silent and its lease has expired."""
        return self.is_unreachable and self._lease.has_expired(now_s)

    def report(self, now_s: float) -> WorkerReport | None:
        """Return what the leader is told; None if no worker is known."""
        check_in = self.check_in
        if check_in is None or not self.has_answered:
            return None
        return WorkerReport(
            instance=check_in.instance,
            pool=check_in.pool,
            capacity=check_in.capacity,
            labels=check_in.labels,
            draining=self.is_draining,
            remaining_ms=max(0, int((self._drain_until_s - now_s) * 1000)),
            lease_expired=self.is_lease_expired(now_s),
        )
