"""The agent's decisions: whom it obeys and what it asks of its worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell import lease_bounds
from yuccapoint.cell.cell_messages import EndedRun
from yuccapoint.cell.cell_messages import RefusedRun
from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.cell_messages import TaskTraits
from yuccapoint.cell.cell_messages import VmReport
from yuccapoint.cell.cell_messages import WorkerReport
from yuccapoint.cell.held_run import HeldRun
from yuccapoint.cell.held_run import RunStage
from yuccapoint.cell.pace_guard import PaceGuard
from yuccapoint.cell.worker_events import CallResult
from yuccapoint.cell.worker_events import LookRequest
from yuccapoint.cell.worker_events import PaceCall
from yuccapoint.cell.worker_events import StartCall
from yuccapoint.cell.worker_events import StopCall
from yuccapoint.cell.worker_lease import WorkerLease
from yuccapoint.job.actions import Explain

if TYPE_CHECKING:
    from yuccapoint.cell.cell_messages import LeaderOrders
    from yuccapoint.cell.cell_messages import StartOrder
    from yuccapoint.cell.worker_events import CheckIn
    from yuccapoint.cell.worker_events import WorkerCall
    from yuccapoint.cell.worker_events import WorkerLook

# A look waits this long for an end, in milliseconds; the lease is renewed
# and the guard looks at the tail as often.
LOOK_WAIT_MS = 500
# Seconds until a call without answer is repeated.
REPEAT_CALL_S = 0.2
# Seconds after which a start without answer is given up here.
GIVE_UP_START_S = 2.0
# After so many looks without answer the worker's lease is left to run out.
MAX_SILENT_LOOKS = 2
# A call without answer may be carried out this many seconds later, as seen
# of the platform's workers, with a margin.
LATE_CALL_S = 13.0
# Reports whose answers may still come.
MAX_OPEN_REPORTS = 32


class VmKeeper:
    """Keeps one VM: obeys the newest leader, drives the worker.

    Methods take messages, answers and the time. Calls to make are given by
    ``take_calls``; each has to be answered by an ``on_..._result``.

    Parameters
    ----------
    vm, address : str
        Name of the VM and where its control messages arrive.
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
        self._started_at_s = now_s
        self.report_due = False
        self.explanations: list[Explain] = []
        self._order_sequence = 0
        self._report_sequence = 0
        self._reported_at_s: dict[int, float] = {}
        self._runs: dict[tuple[str, int], HeldRun] = {}
        self._ends: dict[int, EndedRun] = {}
        self._running: tuple[RunningTask, ...] = ()
        self._traits: dict[str, TaskTraits] = {}
        self._looked = False
        self._silent_looks = 0
        self._noted_number = 0
        self._drain_until_s = 0.0
        self._left = False
        self._guard = PaceGuard()
        self._paces: list[PaceCall] = []

    # The worker's check-ins ----------------------------------------------

    def on_check_in(self, check_in: CheckIn, now_s: float) -> bool:
        """Take a check-in; tell whether it was newer than what is known."""
        known = self.check_in
        if known is not None:
            if check_in.life.born_ms < known.life.born_ms:
                return False
            same = check_in.life == known.life
            if same and check_in.sequence <= known.sequence:
                return False
            if not same:
                self._begin_life(check_in)
        if check_in.draining and not (known and known.draining):
            self._explain(
                "worker", "drains", remaining_ms=check_in.remaining_ms
            )
            self.report_due = True
        if known is None:
            self._explain(
                "worker", "checked in", worker=check_in.life.worker_id
            )
            self.report_due = True
        self.check_in = check_in
        self._drain_until_s = now_s + check_in.remaining_ms / 1000
        self.lease.note_clock(check_in.clock_ms, now_s)
        return True

    def on_leave(self, worker_id: str) -> None:
        """Note that the worker is about to end as planned."""
        if self.check_in is None:
            return
        if self.check_in.life.worker_id != worker_id:
            return
        self._left = True
        self.report_due = True
        self._explain("worker", "leaves", worker=worker_id)

    def _begin_life(self, check_in: CheckIn) -> None:
        known = self.check_in
        self._explain(
            "worker",
            "a new life began",
            worker=check_in.life.worker_id,
            born_ms=check_in.life.born_ms,
        )
        kept: dict[tuple[str, int], HeldRun] = {}
        if known and known.life.worker_id == check_in.life.worker_id:
            # Starts meant for the former life may reach this one.
            for key, held in self._runs.items():
                if held.may_be_elsewhere:
                    bar = HeldRun(held.task_id, held.run, RunStage.STOPPING)
                    bar.reason = "the worker started anew"
                    kept[key] = bar
        self._runs = kept
        self._ends = {}
        self._running = ()
        self._looked = False
        self._silent_looks = 0
        self._noted_number = 0
        self._left = False
        self.lease.forget_clock()
        self.report_due = True

    # The leader's orders --------------------------------------------------

    def on_orders(self, orders: LeaderOrders, now_s: float) -> None:
        """Obey orders of the newest leader."""
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
            self._order_sequence = 0
            self.report_due = True
        self.leader_address = orders.address
        self.leader_heard_at_s = now_s
        if orders.sequence <= self._order_sequence:
            return
        self._order_sequence = orders.sequence
        if orders.agent_incarnation == self.incarnation:
            asked_at_s = self._reported_at_s.get(orders.answers)
            if asked_at_s is not None and orders.lease_ms:
                self.lease.extend(asked_at_s + orders.lease_ms / 1000)
        else:
            self.report_due = True
        if self.check_in is None or orders.life != self.check_in.life:
            return
        self._take_orders(orders, now_s)

    def _take_orders(self, orders: LeaderOrders, now_s: float) -> None:
        if orders.noted_number > self._noted_number:
            self._noted_number = orders.noted_number
            for number in list(self._ends):
                if number <= self._noted_number:
                    del self._ends[number]
        self._traits = {traits.task_id: traits for traits in orders.traits}
        self._guard.take_pairs(orders.pairs)
        wanted = {(start.task_id, start.run) for start in orders.starts}
        for key, held in list(self._runs.items()):
            if held.stage is RunStage.REFUSED and key not in wanted:
                del self._runs[key]
        awaited = set(orders.awaited)
        for key, held in list(self._runs.items()):
            if (
                held.stage is RunStage.STARTING
                and not held.calling
                and key not in awaited
            ):
                # Given up since; a lease that is newer must not start it.
                held.refuse("given up")
                self.report_due = True
        for start in orders.starts:
            self._order_start(start, now_s)
        for task_id, run in orders.stops:
            self._order_stop(task_id, run)

    def _order_start(self, start: StartOrder, now_s: float) -> None:
        key = (start.task_id, start.run)
        if key in self._runs:
            # The refusal is reported again until the leader knows.
            self.report_due = True
            return
        if any((e.task_id, e.run) == key for e in self._ends.values()):
            return
        if not self._looked:
            # A former agent may have started it; the leader asks again.
            return
        held = HeldRun(start.task_id, start.run, RunStage.STARTING, start)
        self._runs[key] = held
        if any((task.task_id, task.run) == key for task in self._running):
            held.stage = RunStage.RUNNING
            held.listed = True
            self.report_due = True
            return
        # A call of a former agent may be carried out yet.
        held.unanswered = now_s < self._started_at_s + LATE_CALL_S
        if self._is_leaving:
            held.refuse("draining")
            self.report_due = True

    def _order_stop(self, task_id: str, run: int) -> None:
        key = (task_id, run)
        if any((e.task_id, e.run) == key for e in self._ends.values()):
            return
        held = self._runs.get(key)
        if held is None:
            held = HeldRun(task_id, run, RunStage.STOPPING)
            self._runs[key] = held
        if held.stage in (RunStage.STARTING, RunStage.RUNNING):
            held.stage = RunStage.STOPPING
            held.call_at_s = 0.0
        if held.stage is RunStage.STOPPING and not held.reason:
            held.reason = "stopped"

    @property
    def _is_leaving(self) -> bool:
        draining = self.check_in is not None and self.check_in.draining
        return self._left or draining

    # Calls to the worker --------------------------------------------------

    def take_calls(self, now_s: float) -> list[WorkerCall]:
        """Give the calls to make now."""
        calls: list[WorkerCall] = []
        if self.check_in is None or not self.term:
            return calls
        for held in self._runs.values():
            if held.calling or now_s < held.call_at_s:
                continue
            call = self._next_call(held, now_s)
            if call is None:
                continue
            held.calling = True
            calls.append(call)
        calls.extend(self._paces)
        self._paces = []
        return calls

    def _next_call(self, held: HeldRun, now_s: float) -> WorkerCall | None:
        if held.stage is RunStage.STOPPING and not held.stop_acked_at_s:
            return StopCall(held.task_id, held.run, self.term)
        if held.stage is not RunStage.STARTING or held.order is None:
            return None
        if not self.lease.is_valid(now_s):
            return None
        lease_until_ms = self.lease.until_clock_ms()
        if lease_until_ms is None:
            return None
        held.first_call_at_s = held.first_call_at_s or now_s
        return StartCall(held.order, self.term, lease_until_ms)

    def on_start_result(
        self, call: StartCall, result: CallResult, reason: str, now_s: float
    ) -> None:
        """Take the answer to a start."""
        held = self._runs.get((call.order.task_id, call.order.run))
        if held is None or held.order is not call.order:
            return
        held.calling = False
        if result is CallResult.UNANSWERED:
            held.unanswered = True
        if held.stage is not RunStage.STARTING:
            return
        self.report_due = True
        if result is CallResult.DONE:
            held.stage = RunStage.RUNNING
            held.started_at_s = now_s
            self._pace_start(held)
            return
        held.call_at_s = now_s + REPEAT_CALL_S
        if result is CallResult.REFUSED and reason in ("fence", "late"):
            return
        if result in (CallResult.UNANSWERED, CallResult.OTHER_LIFE):
            if now_s - held.first_call_at_s > GIVE_UP_START_S:
                held.refuse("no answer")
            return
        held.refuse(reason or result.value)

    def _pace_start(self, held: HeldRun) -> None:
        traits = self._traits.get(held.task_id)
        if traits is None or not traits.filling:
            return
        percent = self._guard.on_start(
            held.task_id, held.run, traits, self._millicores
        )
        if percent is not None:
            self._paces.append(
                PaceCall(held.task_id, held.run, percent, self.term)
            )

    def on_stop_result(
        self, call: StopCall, result: CallResult, now_s: float
    ) -> None:
        """Take the answer to a stop."""
        held = self._runs.get((call.task_id, call.run))
        if held is None:
            return
        held.calling = False
        if held.stage is not RunStage.STOPPING:
            return
        if result is CallResult.DONE:
            held.stop_acked_at_s = now_s
            return
        held.call_at_s = now_s + REPEAT_CALL_S

    def on_pace_result(self, call: PaceCall, result: CallResult) -> None:
        """Take the answer to a change of the pace."""
        if result is not CallResult.DONE:
            self._guard.on_unpaced(call.task_id, call.run)

    # Looks at the worker --------------------------------------------------

    def next_look(self) -> LookRequest | None:
        """Give the next look to make; None while there is no leader."""
        if self.check_in is None or not self.term:
            return None
        lease_until_ms = None
        if self._silent_looks < MAX_SILENT_LOOKS:
            lease_until_ms = self.lease.until_clock_ms()
        wait_ms = 0 if self._silent_looks else LOOK_WAIT_MS
        return LookRequest(
            self.term, self._noted_number, lease_until_ms, wait_ms
        )

    def on_look_failed(self) -> None:
        """Note that a look got no answer."""
        self._silent_looks += 1
        self.report_due = True

    def on_look(
        self, look: WorkerLook, sent_at_s: float, now_s: float
    ) -> None:
        """Take what the worker lists."""
        known = self.check_in
        if known is None or look.born_ms != known.life.born_ms:
            return
        self._silent_looks = 0
        self.lease.note_clock(look.clock_ms, now_s)
        self._running = look.running
        ended = set()
        for end in look.ends:
            ended.add((end.task_id, end.run))
            if end.number <= self._noted_number or end.number in self._ends:
                continue
            self._ends[end.number] = end
            self.report_due = True
        running = {(task.task_id, task.run) for task in look.running}
        for key, held in list(self._runs.items()):
            self._settle(key, held, running, ended, sent_at_s)
        if not self._looked:
            self._looked = True
            self.report_due = True
        self._pace(now_s)

    def _settle(
        self,
        key: tuple[str, int],
        held: HeldRun,
        running: set[tuple[str, int]],
        ended: set[tuple[str, int]],
        sent_at_s: float,
    ) -> None:
        if key in ended:
            del self._runs[key]
            return
        if key in running:
            held.listed = True
            if held.stage is RunStage.STARTING:
                held.stage = RunStage.RUNNING
                self.report_due = True
            return
        if held.stage is RunStage.RUNNING and held.started_at_s < sent_at_s:
            # Neither running nor ended: its end was noted before.
            del self._runs[key]
            return
        acked = 0 < held.stop_acked_at_s < sent_at_s
        if held.stage is RunStage.STOPPING and acked:
            held.stage = RunStage.REFUSED
            held.reason = held.reason or "stopped"
            self.report_due = True

    @property
    def _millicores(self) -> int:
        check_in = self.check_in
        return 0 if check_in is None else check_in.capacity.millicores

    def _pace(self, now_s: float) -> None:
        changes = self._guard.on_look(
            self._running, self._traits, self._millicores, now_s
        )
        for task_id, run, percent in changes:
            self._paces.append(PaceCall(task_id, run, percent, self.term))
            self._explain(
                "guard", "paced", task=task_id, run=run, percent=percent
            )

    # Reports --------------------------------------------------------------

    def take_report(self, now_s: float) -> VmReport:
        """Give the report to send now."""
        self.report_due = False
        self._report_sequence += 1
        self._reported_at_s[self._report_sequence] = now_s
        if len(self._reported_at_s) > MAX_OPEN_REPORTS:
            del self._reported_at_s[next(iter(self._reported_at_s))]
        listed = {(task.task_id, task.run) for task in self._running}
        running = list(self._running)
        pending = []
        refused = []
        for key, held in self._runs.items():
            if held.stage is RunStage.REFUSED:
                refused.append(RefusedRun(held.task_id, held.run, held.reason))
            elif held.stage is RunStage.STARTING:
                pending.append(key)
            elif held.stage is RunStage.RUNNING and key not in listed:
                running.append(RunningTask(*key, "", 0, 0.0))
        return VmReport(
            vm=self.vm,
            address=self.address,
            incarnation=self.incarnation,
            sequence=self._report_sequence,
            term=self.term,
            worker=self._worker_report(now_s),
            looked=self._looked,
            running=tuple(running),
            ends=tuple(self._ends[number] for number in sorted(self._ends)),
            refused=tuple(refused),
            pending=tuple(pending),
        )

    def _worker_report(self, now_s: float) -> WorkerReport | None:
        check_in = self.check_in
        if check_in is None:
            return None
        if not self._looked and self._has_bars:
            return None
        return WorkerReport(
            life=check_in.life,
            pool=check_in.pool,
            capacity=check_in.capacity,
            labels=check_in.labels,
            draining=self._is_leaving,
            remaining_ms=max(0, int((self._drain_until_s - now_s) * 1000)),
            over=self._is_over(now_s),
        )

    @property
    def _has_bars(self) -> bool:
        return any(
            held.stage is RunStage.STOPPING and not held.stop_acked_at_s
            for held in self._runs.values()
        )

    def _is_over(self, now_s: float) -> bool:
        if self._silent_looks < MAX_SILENT_LOOKS:
            return False
        return self.lease.has_run_out(now_s)

    def needs_registration(self, now_s: float) -> bool:
        """Tell whether no leader was heard for long."""
        silent_s = now_s - self.leader_heard_at_s
        return silent_s > lease_bounds.LEADER_SILENCE_S

    def _explain(self, part: str, text: str, **fields: str | int) -> None:
        self.explanations.append(Explain(part, text, dict(fields)))
