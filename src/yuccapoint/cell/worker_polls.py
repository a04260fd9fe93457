"""Status requests to a worker, which also renew its lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell import crash_log
from yuccapoint.cell.worker_events import StatusRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.cell.followed_worker import FollowedWorker
    from yuccapoint.cell.poll_pacer import PollPacer
    from yuccapoint.cell.run_pacing import RunPacing
    from yuccapoint.cell.run_registry import RunRegistry
    from yuccapoint.cell.worker_events import WorkerStatus
    from yuccapoint.cell.worker_lease import WorkerLease

# A status request waits at most this long for a run to end. The worker's
# lease is renewed, and the tail latency read, at the same rate.
STATUS_WAIT_MS = 500
# The same while best-effort work runs beside services, whose load may rise
# above what their target allows within a second.
GUARDED_WAIT_MS = 250
# The same while the agent waits to learn that a new instance of the worker
# does not run what was started on the former one.
BLOCK_WAIT_MS = 50


class WorkerPolls:
    """Builds status requests and applies their answers.

    Parameters
    ----------
    worker : FollowedWorker
        The worker that is polled.
    lease : WorkerLease
        Its lease.
    registry : RunRegistry
        Its runs.
    crashes : CrashLog
        Its crashes and the runs that did not cause one.
    pacing : RunPacing
        Tells whether services are guarded.
    pacer : PollPacer
        Spaces the requests.
    explain : callable
        Logs a decision.
    """

    __slots__ = (
        "_crash_log",
        "_explain",
        "_lease",
        "_pacer",
        "_pacing",
        "_registry",
        "_worker",
    )

    def __init__(
        self,
        worker: FollowedWorker,
        lease: WorkerLease,
        registry: RunRegistry,
        crashes: crash_log.CrashLog,
        pacing: RunPacing,
        pacer: PollPacer,
        explain: Callable[..., None],
    ) -> None:
        self._worker = worker
        self._lease = lease
        self._registry = registry
        self._crash_log = crashes
        self._pacing = pacing
        self._pacer = pacer
        self._explain = explain

    def next_request(self, term: int) -> StatusRequest | None:
        """Return the next status request; None while there is no leader.

        Parameters
        ----------
        term : int
            Term of the leader; 0 if none is known.
        """
        if self._worker.check_in is None or not term:
            return None
        lease_until_ms = None
        if not self._worker.is_unreachable:
            lease_until_ms = self._lease.until_clock_ms()
        wait_ms = STATUS_WAIT_MS
        if self._pacing.guards_services:
            wait_ms = GUARDED_WAIT_MS
        last_seen = 0
        if not self._worker.failed_status_requests:
            last_seen = self._registry.unforgotten_ack
        if crash_log.has_unproven_run(self._registry.tracked_runs):
            wait_ms = crash_log.PROOF_WAIT_MS
        if self._registry.awaits_block:
            wait_ms = BLOCK_WAIT_MS
        if last_seen or self._worker.failed_status_requests:
            # An acknowledgement that stays unanswered may reach the worker's
            # next instance, so that its answer is not delayed.
            wait_ms = 0
        if not self._worker.has_answered:
            # The leader grants no lease before the worker is reported.
            wait_ms = 0
        if last_seen:
            self._registry.late_calls.on_ack_sent()
        return StatusRequest(
            self._worker.check_in.instance,
            self._worker.fence.number,
            term,
            last_seen,
            lease_until_ms,
            wait_ms,
        )

    def on_failed(
        self, request: StatusRequest, now_s: float, *, fenced: bool
    ) -> None:
        """Count a status request that was not answered.

        Parameters
        ----------
        request : StatusRequest
            The request.
        now_s : float
            Steady time in seconds.
        fenced : bool
            Whether the worker refused it, as it has seen a higher token of the
            present term.
        """
        if request.last_seen:
            self._registry.late_calls.on_ack_unanswered(now_s)
        if (
            self._worker.check_in is None
            or request.instance != self._worker.check_in.instance
        ):
            # A former instance left it unanswered.
            return
        self._worker.failed_status_requests += 1
        if fenced:
            self._raise_fence(request)
        self._registry.has_updates = True

    def _raise_fence(self, request: StatusRequest) -> None:
        """Raise the token, as an unknown call had a higher one."""
        if request.fence != self._worker.fence.number:
            return
        self._worker.fence.on_refused()
        self._explain(
            "worker",
            "has seen a higher token; the next calls have a raised one",
            refused=request.fence,
            raised=self._worker.fence.number,
            term=request.term,
        )

    def on_answer(
        self,
        request: StatusRequest,
        status: WorkerStatus,
        sent_at_s: float,
        now_s: float,
    ) -> bool:
        """Apply the worker's answer to a status request.

        Parameters
        ----------
        request : StatusRequest
            The request that was answered.
        status : WorkerStatus
            The answer.
        sent_at_s, now_s : float
            When the request was sent, and steady time in seconds.

        Returns
        -------
        bool
            Whether the present instance answered a call of its own.
        """
        current = self._worker.check_in
        same = current is not None and request.instance == current.instance
        if request.last_seen:
            self._registry.on_ack_answered(request.last_seen if same else 0)
        if current is None or status.born_ms != current.instance.born_ms:
            if same:
                self._worker.answered_by_born_ms = status.born_ms
            self._pacer.on_answer(sent_at_s, at_once=True)
            return False
        if not same or request.fence != self._worker.fence.number:
            # It has not seen a token of its own, so that it still executes
            # calls meant for its predecessor.
            self._pacer.reset()
            return False
        if self._worker.withdraw_leave(sent_at_s):
            self._explain(
                "worker",
                "answers after a notice of its end, which is ignored",
                worker=current.instance.worker_id,
                born_ms=current.instance.born_ms,
            )
        self._worker.on_answered(status, sent_at_s, now_s)
        may_run_late_starts = self._registry.may_get_former_calls(now_s)
        self._registry.late_calls.on_own_call_answered()
        self._lease.on_answered(status.clock_ms, now_s)
        self._registry.on_status(status, sent_at_s)
        if self._crash_log.note_proofs(
            self._registry.tracked_runs, sent_at_s, now_s
        ):
            self._registry.has_updates = True
        if may_run_late_starts:
            self._registry.stop_late_starts()
        self._pacer.on_answer(
            sent_at_s, at_once=self._registry.has_unacked_ends
        )
        return True
