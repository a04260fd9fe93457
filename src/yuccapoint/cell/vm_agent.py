"""Decisions of a VM's agent: leader to follow and calls to its worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell import crash_log
from yuccapoint.cell import lease_bounds
from yuccapoint.cell.cell_messages import REASON_UNREACHABLE
from yuccapoint.cell.cell_messages import VmReport
from yuccapoint.cell.cell_messages import WorkerReport
from yuccapoint.cell.followed_worker import FollowedWorker
from yuccapoint.cell.former_leases import MAX_HOLD_S
from yuccapoint.cell.lease_delays import LeaseDelays
from yuccapoint.cell.poll_pacer import PollPacer
from yuccapoint.cell.reported_instance import explain_reported
from yuccapoint.cell.run_calls import due_calls
from yuccapoint.cell.run_listing import list_pending
from yuccapoint.cell.run_listing import list_refused
from yuccapoint.cell.run_listing import list_running
from yuccapoint.cell.run_pacing import RunPacing
from yuccapoint.cell.run_registry import RunRegistry
from yuccapoint.cell.sent_reports import SentReports
from yuccapoint.cell.worker_events import CallResult
from yuccapoint.cell.worker_events import PaceCall
from yuccapoint.cell.worker_events import StartCall
from yuccapoint.cell.worker_events import StatusRequest
from yuccapoint.cell.worker_events import StopCall
from yuccapoint.cell.worker_lease import WorkerLease
from yuccapoint.cell.worker_polls import WorkerPolls
from yuccapoint.cell.worker_room import WorkerRoom
from yuccapoint.job.actions import Explain

if TYPE_CHECKING:
    from yuccapoint.cell.cell_messages import LeaderOrders
    from yuccapoint.cell.worker_events import CheckIn
    from yuccapoint.cell.worker_events import WorkerCall
    from yuccapoint.cell.worker_events import WorkerStatus


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
    max_hold_s : float
        Workers shorten longer leases to this.
    """

    def __init__(
        self,
        vm: str,
        address: str,
        incarnation: int,
        now_s: float,
        max_hold_s: float = MAX_HOLD_S,
    ) -> None:
        self.vm = vm
        self.address = address
        self.term = 0
        self.leader_address = ""
        self.leader_heard_at_s = 0.0
        self.lease = WorkerLease(now_s, max_hold_s)
        self.explanations: list[Explain] = []
        self.registry = RunRegistry(now_s, self._explain)
        self.crash_log = crash_log.CrashLog(vm)
        self._worker = FollowedWorker(self.lease)
        self._room = WorkerRoom(self.registry, self._explain)
        self._pacing = RunPacing(self._explain)
        self._reports = SentReports(incarnation, self._explain)
        self._lease_delays = LeaseDelays(self._explain)
        self._poll_pacer = PollPacer()
        self._polls = WorkerPolls(
            self._worker,
            self.lease,
            self.registry,
            self.crash_log,
            self._pacing,
            self._poll_pacer,
            self._explain,
        )
        self._order_sequence = 0

    @property
    def incarnation(self) -> int:
        """Start time of the agent, or above it, in nanoseconds."""
        return self._reports.incarnation

    @property
    def check_in(self) -> CheckIn | None:
        """The newest check-in of the worker."""
        return self._worker.check_in

    @property
    def report_due(self) -> bool:
        """Whether there are changes to report to the leader."""
        return self.registry.has_updates

    @property
    def fence(self) -> int:
        """Number of the worker's instance in the tokens of its calls."""
        return self._worker.fence.number

    # Check-ins of the worker ---------------------------------------------

    def on_check_in(self, check_in: CheckIn, now_s: float) -> bool:
        """Apply a check-in; return whether it is newer than the last."""
        if not self._worker.is_newer(check_in, now_s):
            return False
        previous = self.check_in
        if previous is not None and check_in.instance != previous.instance:
            self._begin_instance(previous, check_in, now_s)
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
            self._worker.fence.begin_instance(check_in.instance.born_ms)
        self._worker.on_check_in(check_in, now_s)
        self._room.on_check_in(check_in, now_s)
        self.lease.record_clock(check_in.clock_ms, now_s)
        return True

    def on_leave(self, worker_id: str, now_s: float) -> None:
        """Note a notice that the worker ends now."""
        if self.check_in is None:
            return
        if self.check_in.instance.worker_id != worker_id:
            return
        self._worker.announce_leave(now_s)
        self._explain(
            "worker",
            "a notice says that it ends",
            worker=worker_id,
            draining=int(self._worker.is_draining),
        )

    def _begin_instance(
        self, previous: CheckIn, check_in: CheckIn, now_s: float
    ) -> None:
        worker = self._worker
        same_id = previous.instance.worker_id == check_in.instance.worker_id
        suspects = self.crash_log.on_instance_ended(
            self.registry.tracked_runs,
            check_in.clock_ms,
            now_s,
            announced=worker.has_announced_end,
        )
        worker.fence.begin_instance(check_in.instance.born_ms)
        blocked = self.registry.begin_instance(now_s, same_id=same_id)
        self._explain(
            "worker",
            "a new instance started",
            worker=check_in.instance.worker_id,
            born_ms=check_in.instance.born_ms,
            same_id=int(same_id),
            fence=worker.fence.number,
            blocked_starts=blocked,
            announced=int(worker.has_announced_end),
            suspects=suspects,
        )
        worker.begin_instance(now_s)
        self._poll_pacer.reset()
        self.lease.begin_instance(now_s, same_id=same_id)

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
                self._worker.fence.begin_term(self.check_in.instance.born_ms)
            self._order_sequence = 0
            self.registry.has_updates = True
        self.leader_address = orders.address
        if now_s - self.leader_heard_at_s > lease_bounds.STALE_AFTER_S:
            # The leader claims nothing here before its orders are confirmed.
            self.registry.has_updates = True
        self.leader_heard_at_s = now_s
        if orders.agent_incarnation > self.incarnation:
            self._reports.raise_incarnation(orders.agent_incarnation)
            self.registry.has_updates = True
        if orders.sequence <= self._order_sequence:
            return
        self._order_sequence = orders.sequence
        if orders.agent_incarnation == self.incarnation:
            asked_at_s = self.answered_report_at_s(orders)
            if asked_at_s is not None and orders.lease_ms:
                self.lease.extend(asked_at_s + orders.lease_ms / 1000)
                self._lease_delays.on_lease(
                    orders.leader, orders.term, asked_at_s, now_s
                )
        else:
            self.registry.has_updates = True
        if self.check_in is None or orders.instance != self.check_in.instance:
            return
        self._apply_orders(orders, now_s)

    def _apply_orders(self, orders: LeaderOrders, now_s: float) -> None:
        if self.registry.discard_acked_ends(orders.acked_end_number):
            self._poll_pacer.reset()
        self._pacing.on_orders(orders)
        answered = self._reports.answered(orders)
        self.registry.discard_unawaited(set(orders.awaited), answered)
        refusal = self._worker.refusal or self._room.refusal(answered)
        for start in self._reports.valid_starts(orders):
            self.registry.order_start(start, now_s, refusal=refusal)
        for task_id, run in orders.stops:
            self.registry.order_stop(task_id, run)

    def answered_report_at_s(self, orders: LeaderOrders) -> float | None:
        """Return when the report that orders answer was sent, if known."""
        return self._reports.answered_at_s(orders)

    def next_calls(self, now_s: float) -> list[WorkerCall]:
        """Return the calls to make now."""
        if self.check_in is None or not self.term:
            return []
        self._room.withdraw_outdated_starts(now_s)
        run_calls = due_calls(
            self.registry.tracked_runs,
            self.term,
            self.lease,
            now_s,
            worker_is_silent=self._worker.failed_status_requests > 0,
        )
        calls: list[WorkerCall] = [*run_calls, *self._pacing.take_calls()]
        for call in calls:
            call.address_to(
                self.check_in.instance,
                self.fence,
                int(self._worker.clock.least_ms(now_s)),
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
            self.crash_log.note_executed_by_next(
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
            self._pacing.on_run_started(
                call.order.task_id,
                call.order.run,
                self._worker.millicores,
                self.term,
            )

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
            self._pacing.on_pace_failed(call.task_id, call.run)

    def next_status_request(self) -> StatusRequest | None:
        """Return the next status request; None while there is no leader."""
        return self._polls.next_request(self.term)

    def poll_delay_s(self, now_s: float) -> float:
        """Return the time in seconds until the worker is to be polled."""
        return self._poll_pacer.delay_s(now_s)

    def on_status_failed(
        self, request: StatusRequest, now_s: float, *, fenced: bool = False
    ) -> None:
        """Count a status request that was not answered, or was fenced."""
        fenced = fenced and request.term == self.term
        self._polls.on_failed(request, now_s, fenced=fenced)

    def on_status(
        self,
        request: StatusRequest,
        status: WorkerStatus,
        sent_at_s: float,
        now_s: float,
    ) -> None:
        """Apply the worker's answer to a status request."""
        if not self._polls.on_answer(request, status, sent_at_s, now_s):
            return
        self._room.record_clock(status.clock_ms, now_s)
        self._pacing.on_status(
            self.registry.running, self._worker.millicores, self.term, now_s
        )

    def build_report(self, now_s: float) -> VmReport:
        """Return the report to send now."""
        self.registry.has_updates = False
        self._reports.begin(now_s)
        worker = self._worker_report(now_s)
        if worker is not None:
            self._room.on_report(self._reports.sequence)
        if worker is not None and worker.lease_expired:
            self._reports.note_expiry()
            self.registry.refuse_unsent_starts(REASON_UNREACHABLE)
        runs = self.registry.tracked_runs
        return VmReport(
            vm=self.vm,
            address=self.address,
            incarnation=self.incarnation,
            sequence=self._reports.sequence,
            term=self.term,
            worker=worker,
            runs_listed=self.registry.runs_listed,
            running=list_running(self.registry.running, runs),
            ends=self.registry.report_ends(),
            refused=list_refused(
                runs,
                self._reports.sequence,
                applied=worker is not None and self.registry.runs_listed,
            ),
            pending=list_pending(runs),
            heard_orders=self._order_sequence,
            former_hold_ms=self.lease.former_hold_ms(now_s),
        )

    def _worker_report(self, now_s: float) -> WorkerReport | None:
        report = self._worker.report(now_s)
        if report is None or self.registry.may_get_former_calls(now_s):
            return None
        explain_reported(
            report, self._worker, self.registry, self._explain, now_s
        )
        return report

    def needs_registration(self, now_s: float) -> bool:
        """Return whether no leader has sent orders for too long."""
        silent_s = now_s - self.leader_heard_at_s
        return silent_s > lease_bounds.LEADER_TIMEOUT_S

    def _explain(self, part: str, text: str, **fields: str | int) -> None:
        self.explanations.append(Explain(part, text, dict(fields)))
