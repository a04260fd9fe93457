"""Decisions of a VM's agent: leader to follow and calls to its worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell import crash_log
from yuccapoint.cell import lease_bounds
from yuccapoint.cell.cell_messages import REASON_DRAINING
from yuccapoint.cell.cell_messages import REASON_UNREACHABLE
from yuccapoint.cell.cell_messages import TaskTraits
from yuccapoint.cell.cell_messages import VmReport
from yuccapoint.cell.cell_messages import WorkerReport
from yuccapoint.cell.pace_controller import PaceController
from yuccapoint.cell.poll_pacer import PollPacer
from yuccapoint.cell.run_registry import RunRegistry
from yuccapoint.cell.worker_clock import WorkerClock
from yuccapoint.cell.worker_events import CallResult
from yuccapoint.cell.worker_events import PaceCall
from yuccapoint.cell.worker_events import StartCall
from yuccapoint.cell.worker_events import StatusRequest
from yuccapoint.cell.worker_events import StopCall
from yuccapoint.cell.worker_fence import WorkerFence
from yuccapoint.cell.worker_lease import WorkerLease
from yuccapoint.cell.worker_room import WorkerRoom
from yuccapoint.job.actions import Explain

if TYPE_CHECKING:
    from yuccapoint.cell.cell_messages import LeaderOrders
    from yuccapoint.cell.cell_messages import StartOrder
    from yuccapoint.cell.worker_events import CheckIn
    from yuccapoint.cell.worker_events import WorkerCall
    from yuccapoint.cell.worker_events import WorkerStatus

# A status request waits at most this long for a run to end. The worker's
# lease is renewed, and the tail latency read, at the same rate.
STATUS_WAIT_MS = 500
# The same while best-effort work runs beside services, whose load may rise
# above what their target allows within a second.
GUARDED_WAIT_MS = 250
# The same while the agent waits to learn that a new instance of the worker
# does not run what was started on the former one.
BLOCK_WAIT_MS = 50
# After this many unanswered status requests the worker's lease is no longer
# renewed.
MAX_FAILED_STATUS_REQUESTS = 2
# Incarnations are raised by less than this, in nanoseconds.
INCARNATION_SPREAD_NS = 1_000_000
# Reports that are kept to match the leader's answers with.
MAX_UNANSWERED_REPORTS = 32


class VmAgent:
    """Follows the newest leader on behalf of one VM and drives its worker.

    Methods receive messages, results and the current time. ``next_calls``
    returns the calls to make; each result goes to an ``on_..._result``.

    Parameters
    ----------
    vm, address : str
        Name of the VM and address for its control messages.
    incarnation : int
        Start time of the agent in nanoseconds.
    now_s : float
        Steady time in seconds.
    """

    def __init__(
        self, vm: str, address: str, incarnation: int, now_s: float
    ) -> None:
        self.vm = vm
        self.address = address
        self.incarnation = incarnation
        self.term = 0
        self.leader_address = ""
        self.leader_heard_at_s = 0.0
        self.check_in: CheckIn | None = None
        self.lease = WorkerLease(now_s)
        self.explanations: list[Explain] = []
        self.registry = RunRegistry(now_s, self._explain)
        self._clock = WorkerClock()
        self._fence = WorkerFence()
        self._room = WorkerRoom(self.registry, self._explain)
        self.crash_log = crash_log.CrashLog(vm)
        self._order_sequence = 0
        self._report_sequence = 0
        # The newest report of an expired lease, on which the leader releases
        # all claims of the VM.
        self._expiry_report_sequence = 0
        self._reported_at_s: dict[int, float] = {}
        self._traits: dict[str, TaskTraits] = {}
        self._failed_status_requests = 0
        # Start time of the instance that answered a poll meant for another.
        self._answered_by_born_ms: int | None = None
        # Whether a worker has answered a poll under its start time. The first
        # check-in may be from another writer, and the leader releases the
        # claims of an instance once a later one is reported.
        self._has_answered = False
        # When the present instance checked in, while the leader has not been
        # told of it; 0 else.
        self._withheld_since_s = 0.0
        self._drain_until_s = 0.0
        self._leave_announced = False
        self._poll_pacer = PollPacer()
        self._pace_controller = PaceController()
        self._pace_calls: list[PaceCall] = []

    @property
    def report_due(self) -> bool:
        """Whether there are changes to report to the leader."""
        return self.registry.has_updates

    @property
    def fence(self) -> int:
        """Number of the worker's instance in the tokens of its calls."""
        return self._fence.number

    # Check-ins of the worker ---------------------------------------------

    def on_check_in(self, check_in: CheckIn, now_s: float) -> bool:
        """Apply a check-in; return whether it is newer than the last."""
        previous = self.check_in
        if previous is not None:
            older = check_in.instance.born_ms < previous.instance.born_ms
            if older and not self._has_replaced(check_in, now_s):
                return False
            same = check_in.instance == previous.instance
            if same and self._is_outdated(check_in, previous, now_s):
                return False
            if not same:
                self._begin_instance(check_in, now_s)
        if check_in.draining and not (previous and previous.draining):
            self._explain(
                "worker", "drains", remaining_ms=check_in.remaining_ms
            )
            self.registry.has_updates = True
        if previous is None:
            self._explain(
                "worker", "checked in", worker=check_in.instance.worker_id
            )
            self.registry.has_updates = True
            self._fence.begin_instance(check_in.instance.born_ms)
        self.check_in = check_in
        self._clock.set(check_in.clock_ms, now_s)
        self._room.on_check_in(check_in, now_s)
        self._drain_until_s = now_s + check_in.remaining_ms / 1000
        self.lease.record_clock(check_in.clock_ms, now_s)
        return True

    def _is_outdated(
        self, check_in: CheckIn, previous: CheckIn, now_s: float
    ) -> bool:
        """Return whether a check-in is older than that of the same instance.

        The worker's clock orders them, as polls bound it. A sequence number
        of another writer would hide all later check-ins.
        """
        if self._clock.is_ahead(check_in.clock_ms, now_s):
            return True
        if self._clock.is_ahead(previous.clock_ms, now_s):
            return False
        if check_in.clock_ms != previous.clock_ms:
            return check_in.clock_ms < previous.clock_ms
        return check_in.sequence <= previous.sequence

    def _has_replaced(self, check_in: CheckIn, now_s: float) -> bool:
        """Return whether an instance born earlier is the worker's newest.

        Its start time is lower if the time of day was set back. A delayed
        check-in of a former instance has a lower one too.
        """
        assert self.check_in is not None
        if check_in.instance.worker_id == self.check_in.instance.worker_id:
            return check_in.instance.born_ms == self._answered_by_born_ms
        # Polls name the id, so that another one does not answer them.
        return self._is_lease_expired(now_s)

    def on_leave(self, worker_id: str) -> None:
        """Note that the worker is about to stop as planned."""
        if self.check_in is None:
            return
        if self.check_in.instance.worker_id != worker_id:
            return
        self._leave_announced = True
        self.registry.has_updates = True
        self._explain("worker", "leaves", worker=worker_id)

    def _begin_instance(self, check_in: CheckIn, now_s: float) -> None:
        previous = self.check_in
        same_id = (
            previous is not None
            and previous.instance.worker_id == check_in.instance.worker_id
        )
        suspects = self.crash_log.on_instance_ended(
            self.registry.tracked_runs, now_s, announced=self._is_draining
        )
        self.crash_log.next_starts.begin_instance(check_in.clock_ms, now_s)
        self._fence.begin_instance(check_in.instance.born_ms)
        blocked = self.registry.begin_instance(now_s, same_id=same_id)
        self._explain(
            "worker",
            "a new instance started",
            worker=check_in.instance.worker_id,
            born_ms=check_in.instance.born_ms,
            same_id=int(same_id),
            fence=self._fence.number,
            blocked_starts=blocked,
            announced=int(self._is_draining),
            suspects=suspects,
        )
        self._failed_status_requests = 0
        self._answered_by_born_ms = None
        self._withheld_since_s = now_s
        self._leave_announced = False
        self._poll_pacer.reset()
        self.lease.reset_clock()
        self._clock.reset_bound()

    def on_orders(self, orders: LeaderOrders, now_s: float) -> None:
        """Apply orders of the newest leader."""
        if orders.vm != self.vm or orders.term < self.term:
            return
        if orders.term > self.term:
            self._explain(
                "leader",
                "follows a new leader",
                leader=orders.leader,
                term=orders.term,
            )
            self.term = orders.term
            if self.check_in is not None:
                self._fence.begin_term(self.check_in.instance.born_ms)
            self._order_sequence = 0
            self.registry.has_updates = True
        self.leader_address = orders.address
        if now_s - self.leader_heard_at_s > lease_bounds.STALE_AFTER_S:
            # The leader claims nothing here before its orders are confirmed.
            self.registry.has_updates = True
        self.leader_heard_at_s = now_s
        if orders.agent_incarnation > self.incarnation:
            self._raise_incarnation(orders.agent_incarnation)
        if orders.sequence <= self._order_sequence:
            return
        self._order_sequence = orders.sequence
        if orders.agent_incarnation == self.incarnation:
            asked_at_s = self.answered_report_at_s(orders)
            if asked_at_s is not None and orders.lease_ms:
                self.lease.extend(asked_at_s + orders.lease_ms / 1000)
        else:
            self.registry.has_updates = True
        if self.check_in is None or orders.instance != self.check_in.instance:
            return
        self._apply_orders(orders, now_s)

    def _raise_incarnation(self, former: int) -> None:
        """Take an incarnation above one that the leader follows.

        An incarnation is the time of day at the agent's start, which may be
        set back between two starts. The leader would ignore all reports of
        the later agent as those of a former one.
        """
        # The lower digits tell agents apart that are raised from the same one.
        raised = former + 1 + self.incarnation % INCARNATION_SPREAD_NS
        self._explain(
            "leader",
            "started before its predecessor by the time of day",
            incarnation=self.incarnation,
            former=former,
            raised=raised,
        )
        self.incarnation = raised
        self.registry.has_updates = True

    def _apply_orders(self, orders: LeaderOrders, now_s: float) -> None:
        if self.registry.discard_acked_ends(orders.acked_end_number):
            self._poll_pacer.reset()
        self._traits = {traits.task_id: traits for traits in orders.traits}
        self._pace_controller.update_estimates(orders.pairs)
        self.registry.discard_unawaited(
            set(orders.awaited), self._answered_report(orders)
        )
        refusal = self._refusal or self._room.refusal(
            self._answered_report(orders)
        )
        for start in self._valid_starts(orders):
            self.registry.order_start(start, now_s, refusal=refusal)
        for task_id, run in orders.stops:
            self.registry.order_stop(task_id, run)

    def answered_report_at_s(self, orders: LeaderOrders) -> float | None:
        """Return when the report that orders answer was sent, if known."""
        return self._reported_at_s.get(self._answered_report(orders))

    def _answered_report(self, orders: LeaderOrders) -> int:
        """Return which report of this agent the orders answer; 0 if none."""
        if orders.agent_incarnation != self.incarnation:
            return 0
        return orders.answers

    def _valid_starts(self, orders: LeaderOrders) -> tuple[StartOrder, ...]:
        """Return the starts, unless their claims may have been released."""
        expiry_report = self._expiry_report_sequence
        if not orders.starts or not expiry_report:
            return orders.starts
        if self._answered_report(orders) >= expiry_report:
            return orders.starts
        self._explain(
            "run",
            "ignored starts ordered before the lease was reported as expired",
            starts=len(orders.starts),
            answers=orders.answers,
            expiry_report=expiry_report,
        )
        return ()

    @property
    def _refusal(self) -> str:
        """Why the worker gets no new run; empty if it does."""
        if self._is_draining:
            return REASON_DRAINING
        if self._failed_status_requests >= MAX_FAILED_STATUS_REQUESTS:
            # A start would stay unanswered until the lease has expired.
            return REASON_UNREACHABLE
        if self._answered_by_born_ms is not None:
            # The instance that the leader knows is gone.
            return REASON_UNREACHABLE
        return ""

    @property
    def _is_draining(self) -> bool:
        draining = self.check_in is not None and self.check_in.draining
        return self._leave_announced or draining

    def next_calls(self, now_s: float) -> list[WorkerCall]:
        """Return the calls to make now."""
        if self.check_in is None or not self.term:
            return []
        self._room.withdraw_outdated_starts(now_s)
        calls: list[WorkerCall] = []
        calls.extend(
            self.registry.next_calls(
                self.term,
                self.lease,
                now_s,
                worker_is_silent=self._failed_status_requests > 0,
            )
        )
        calls.extend(self._pace_calls)
        self._pace_calls = []
        for call in calls:
            call.address_to(
                self.check_in.instance,
                self._fence.number,
                int(self._clock.least_ms(now_s)),
            )
        return calls

    def on_start_result(
        self,
        call: StartCall,
        result: CallResult,
        reason: str,
        now_s: float,
        clock_ms: int | None = None,
    ) -> None:
        """Apply the result of a start.

        Parameters
        ----------
        call : StartCall
            The call.
        result : CallResult
            Its result.
        reason : str
            Why the worker refused it; empty if it did not.
        now_s : float
            Steady time in seconds.
        clock_ms : int or None
            The worker's clock in the answer, in milliseconds.
        """
        if result is CallResult.DONE and call.was_answered_by_next(clock_ms):
            # The next instance answered before it has checked in.
            result = CallResult.NEXT_INSTANCE
            self.crash_log.next_starts.note_executed(
                (call.order.task_id, call.order.run), clock_ms or 0, now_s
            )
            self._explain(
                "run",
                "started by the next instance of the worker",
                task=call.order.task_id,
                run=call.order.run,
                clock_ms=clock_ms or 0,
                least_clock_ms=call.least_clock_ms,
            )
        if self.registry.on_start_result(call, result, reason, now_s):
            self._pace_new_run(call.order.task_id, call.order.run)

    def _pace_new_run(self, task_id: str, run: int) -> None:
        traits = self._traits.get(task_id)
        if traits is None or not traits.best_effort:
            return
        percent = self._pace_controller.on_run_started(
            task_id, run, self._traits, self._millicores
        )
        if percent is not None:
            self._pace_calls.append(PaceCall(task_id, run, percent, self.term))

    def on_stop_result(
        self, call: StopCall, result: CallResult, now_s: float
    ) -> None:
        """Apply the result of a stop."""
        if self.check_in is None or call.instance != self.check_in.instance:
            # A former instance does not block a start at the present one.
            self._explain(
                "run",
                "ignored the confirmation of a stop by a former instance",
                task=call.task_id,
                run=call.run,
                result=result.value,
            )
            return
        self.registry.on_stop_result(call, result, now_s)

    def on_pace_result(self, call: PaceCall, result: CallResult) -> None:
        """Apply the result of a pace change."""
        if result is not CallResult.DONE:
            self._pace_controller.on_pace_failed(call.task_id, call.run)

    def next_status_request(self) -> StatusRequest | None:
        """Return the next status request; None while there is no leader."""
        if self.check_in is None or not self.term:
            return None
        lease_until_ms = None
        if self._failed_status_requests < MAX_FAILED_STATUS_REQUESTS:
            lease_until_ms = self.lease.until_clock_ms()
        wait_ms = STATUS_WAIT_MS
        if self._pace_controller.guards_services:
            wait_ms = GUARDED_WAIT_MS
        last_seen = 0
        if not self._failed_status_requests:
            last_seen = self.registry.unforgotten_ack
        if crash_log.has_unproven_run(self.registry.tracked_runs):
            wait_ms = crash_log.PROOF_WAIT_MS
        if self.registry.awaits_block:
            wait_ms = BLOCK_WAIT_MS
        if last_seen or self._failed_status_requests:
            # An acknowledgement that stays unanswered may reach the worker's
            # next instance, so that its answer is not delayed.
            wait_ms = 0
        if not self._has_answered:
            # The leader grants no lease before the worker is reported.
            wait_ms = 0
        if last_seen:
            self.registry.on_ack_sent()
        return StatusRequest(
            self.check_in.instance,
            self._fence.number,
            self.term,
            last_seen,
            lease_until_ms,
            wait_ms,
        )

    def poll_delay_s(self, now_s: float) -> float:
        """Return the time in seconds until the worker is to be polled."""
        return self._poll_pacer.delay_s(now_s)

    def on_status_failed(
        self, request: StatusRequest, now_s: float, *, fenced: bool = False
    ) -> None:
        """Count a status request that was not answered.

        Parameters
        ----------
        request : StatusRequest
            The request.
        now_s : float
            Steady time in seconds.
        fenced : bool
            Whether the worker refused it, as it has seen a higher token.
        """
        if request.last_seen:
            self.registry.on_ack_unanswered(now_s)
        if self.check_in is None or request.instance != self.check_in.instance:
            # A former instance left it unanswered.
            return
        self._failed_status_requests += 1
        if fenced and request.term == self.term:
            self._raise_fence(request.fence)
        self.registry.has_updates = True

    def _raise_fence(self, refused: int) -> None:
        """Raise the token, as an unknown call had a higher one."""
        if refused != self._fence.number:
            return
        self._fence.on_refused()
        self._explain(
            "worker",
            "has seen a higher token; the next calls have a raised one",
            refused=refused,
            raised=self._fence.number,
            term=self.term,
        )

    def on_status(
        self,
        request: StatusRequest,
        status: WorkerStatus,
        sent_at_s: float,
        now_s: float,
    ) -> None:
        """Apply the worker's answer to a status request.

        Parameters
        ----------
        request : StatusRequest
            The request that was answered.
        status : WorkerStatus
            The answer.
        sent_at_s, now_s : float
            When the request was sent, and steady time in seconds.
        """
        current = self.check_in
        same = current is not None and request.instance == current.instance
        if request.last_seen:
            self.registry.on_ack_answered(request.last_seen if same else 0)
        if current is None or status.born_ms != current.instance.born_ms:
            if same:
                self._answered_by_born_ms = status.born_ms
            self._poll_pacer.on_answer(sent_at_s, at_once=True)
            return
        if not same or request.fence != self._fence.number:
            # It has not seen a token of its own, so that it still executes
            # calls meant for its predecessor.
            self._poll_pacer.reset()
            return
        self._failed_status_requests = 0
        self._answered_by_born_ms = None
        may_run_late_starts = self.registry.may_get_former_calls(now_s)
        self.registry.on_own_call_answered()
        self.lease.record_clock(status.clock_ms, now_s)
        self._room.record_clock(status.clock_ms, now_s)
        self._clock.set(status.clock_ms, now_s)
        self._clock.bound(status.clock_ms, sent_at_s)
        self._has_answered = True
        self.registry.on_status(status, sent_at_s)
        if self.crash_log.note_proofs(
            self.registry.tracked_runs, sent_at_s, now_s
        ):
            self.registry.has_updates = True
        if may_run_late_starts:
            self.registry.stop_late_starts()
        self._poll_pacer.on_answer(
            sent_at_s, at_once=self.registry.has_unacked_ends
        )
        self._update_paces(now_s)

    @property
    def _millicores(self) -> int:
        check_in = self.check_in
        return 0 if check_in is None else check_in.capacity.millicores

    def _update_paces(self, now_s: float) -> None:
        changes = self._pace_controller.on_status(
            self.registry.running, self._traits, self._millicores, now_s
        )
        for task_id, run, percent in changes:
            self._pace_calls.append(PaceCall(task_id, run, percent, self.term))
            self._explain(
                "guard",
                "paced",
                task=task_id,
                run=run,
                percent=percent,
                tail_of_target_percent=int(
                    100 * self._pace_controller.pressure
                ),
            )

    def build_report(self, now_s: float) -> VmReport:
        """Return the report to send now."""
        self.registry.has_updates = False
        self._report_sequence += 1
        self._reported_at_s[self._report_sequence] = now_s
        if len(self._reported_at_s) > MAX_UNANSWERED_REPORTS:
            del self._reported_at_s[next(iter(self._reported_at_s))]
        worker = self._worker_report(now_s)
        if worker is not None:
            self._room.on_report(self._report_sequence)
        if worker is not None and worker.lease_expired:
            self._expiry_report_sequence = self._report_sequence
            self.registry.refuse_unsent_starts(REASON_UNREACHABLE)
        return VmReport(
            vm=self.vm,
            address=self.address,
            incarnation=self.incarnation,
            sequence=self._report_sequence,
            term=self.term,
            worker=worker,
            runs_listed=self.registry.runs_listed,
            running=self.registry.report_running(),
            ends=self.registry.report_ends(),
            refused=self.registry.report_refused(
                self._report_sequence,
                applied=worker is not None and self.registry.runs_listed,
            ),
            pending=self.registry.report_pending(),
            heard_orders=self._order_sequence,
        )

    def _worker_report(self, now_s: float) -> WorkerReport | None:
        check_in = self.check_in
        if check_in is None or not self._has_answered:
            return None
        if self.registry.may_get_former_calls(now_s):
            return None
        self._explain_reported(now_s)
        return WorkerReport(
            instance=check_in.instance,
            pool=check_in.pool,
            capacity=check_in.capacity,
            labels=check_in.labels,
            draining=self._is_draining,
            remaining_ms=max(0, int((self._drain_until_s - now_s) * 1000)),
            lease_expired=self._is_lease_expired(now_s),
        )

    def _explain_reported(self, now_s: float) -> None:
        """Log that the leader is told of a new instance."""
        if not self._withheld_since_s or self.check_in is None:
            return
        self._explain(
            "worker",
            "the new instance is reported",
            worker=self.check_in.instance.worker_id,
            born_ms=self.check_in.instance.born_ms,
            withheld_ms=int(1000 * (now_s - self._withheld_since_s)),
            runs_listed=int(self.registry.runs_listed),
            running=len(self.registry.running),
            ends=len(self.registry.report_ends()),
        )
        self._withheld_since_s = 0.0

    def _is_lease_expired(self, now_s: float) -> bool:
        if self._failed_status_requests < MAX_FAILED_STATUS_REQUESTS:
            return False
        return self.lease.has_expired(now_s)

    def needs_registration(self, now_s: float) -> bool:
        """Return whether no leader has sent orders for too long."""
        silent_s = now_s - self.leader_heard_at_s
        return silent_s > lease_bounds.LEADER_TIMEOUT_S

    def _explain(self, part: str, text: str, **fields: str | int) -> None:
        self.explanations.append(Explain(part, text, dict(fields)))
