"""Simulated agent: its decisions connected to a worker model."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.lease_bounds import REPORT_INTERVAL_S
from yuccapoint.cell.vm_agent import VmAgent
from yuccapoint.cell.worker_events import CallAnswer
from yuccapoint.cell.worker_events import CallResult
from yuccapoint.cell.worker_events import StartCall
from yuccapoint.cell.worker_events import StatusRequest
from yuccapoint.cell.worker_events import StopCall

if TYPE_CHECKING:
    import random

    from cell_world.worker_model import WorkerModel
    from yuccapoint.cell.crash_messages import CrashReport
    from yuccapoint.cell.worker_events import CheckIn
    from yuccapoint.cell.worker_events import WorkerCall

POLL_INTERVAL_S = 0.2


class AgentModel:
    """Executes an agent's calls, some of them late or unanswered."""

    def __init__(
        self, worker: WorkerModel, rng: random.Random, now_s: float
    ) -> None:
        self.worker = worker
        self.late_share = 0.0
        self.frozen_until_s = 0.0
        # Whether check-ins wait for a frozen agent, and for the next one.
        self.check_ins_wait = False
        self._waiting_check_ins: list[tuple[float, CheckIn]] = []
        # Difference of the VM's time of day from true time.
        self.clock_offset_s = 0.0
        self._rng = rng
        self._late_calls: list[tuple[float, WorkerCall | StatusRequest]] = []
        self.restart(now_s)

    def restart(self, now_s: float) -> None:
        incarnation = int((now_s + self.clock_offset_s) * 1e9)
        self.vm_agent = VmAgent(
            self.worker.vm,
            self.worker.vm,
            incarnation,
            now_s,
            self.worker.max_hold_ms / 1000,
        )
        self._checked_in_at_s = -9.0
        self._checked_in_born = 0
        self._polled_at_s = 0.0
        self._reported_at_s = 0.0

    def is_disturbed(self, now_s: float) -> bool:
        """Return whether the agent is away, or its calls or clock are off."""
        if now_s < self.frozen_until_s or self._waiting_check_ins:
            return True
        return bool(self.late_share or self._late_calls or self.clock_offset_s)

    def step(self, now_s: float):
        """Make due calls and polls; return a report when one is due."""
        if now_s < self.frozen_until_s:
            self._execute_late_calls(now_s)
            if self.check_ins_wait:
                self._queue_check_in(now_s)
            return None
        for item in list(self._waiting_check_ins):
            if item[0] <= now_s:
                self._waiting_check_ins.remove(item)
                self.vm_agent.on_check_in(item[1], now_s)
        if self.worker.alive and self._is_check_in_due(now_s):
            self._checked_in_at_s = now_s
            self._checked_in_born = self.worker.instance.born_ms
            self.vm_agent.on_check_in(self.worker.check_in(now_s), now_s)
        for call in self.vm_agent.next_calls(now_s):
            self._deliver_answer(call, self._call(call, now_s), now_s)
        self._execute_late_calls(now_s)
        if now_s - self._polled_at_s >= POLL_INTERVAL_S:
            self._polled_at_s = now_s
            self._poll(now_s)
        due = now_s - self._reported_at_s >= REPORT_INTERVAL_S
        if not self.vm_agent.leader_address:
            return None
        if not due and not self.vm_agent.report_due:
            return None
        self._reported_at_s = now_s
        return self.vm_agent.build_report(now_s)

    def _queue_check_in(self, now_s: float) -> None:
        """Let a check-in arrive in any order, once the agent goes on."""
        if self.worker.alive and self._is_check_in_due(now_s):
            self._checked_in_at_s = now_s
            self._checked_in_born = self.worker.instance.born_ms
            at_s = self.frozen_until_s + self._rng.uniform(0.0, 0.5)
            check_in = self.worker.check_in(now_s)
            self._waiting_check_ins.append((at_s, check_in))

    def build_crash_report(self, now_s: float) -> CrashReport | None:
        """Return what is to be sent with a report."""
        agent = self.vm_agent
        return agent.crash_log.build_report(agent.incarnation, now_s)

    def _is_check_in_due(self, now_s: float) -> bool:
        """Return whether an interval has passed or the worker is new."""
        if not self.worker.has_checked_in(now_s):
            return False
        if self.worker.instance.born_ms != self._checked_in_born:
            return True
        return now_s - self._checked_in_at_s > 1.0

    def _poll(self, now_s: float) -> None:
        request = self.vm_agent.next_status_request()
        if request is None:
            return
        status = None
        fenced = False
        if self._rng.random() < self.late_share / 2:
            self._send_late(request, now_s)
        elif self.worker.alive:
            status = self.worker.status(request, now_s)
            fenced = status is None
        if status is None or self._rng.random() < self.late_share / 2:
            self.vm_agent.on_status_failed(request, now_s, fenced=fenced)
            return
        self.vm_agent.on_status(request, status, now_s, now_s)

    def _call(self, call: WorkerCall, now_s: float) -> CallAnswer:
        if not self.worker.alive:
            return CallAnswer(CallResult.UNANSWERED)
        if self._rng.random() < self.late_share:
            self._send_late(call, now_s)
            return CallAnswer(CallResult.UNANSWERED)
        return self.worker.call(call, now_s)

    def _send_late(
        self, call: WorkerCall | StatusRequest, now_s: float
    ) -> None:
        at_s = now_s + self._rng.uniform(0.5, 12.0)
        self._late_calls.append((at_s, call))

    def _execute_late_calls(self, now_s: float) -> None:
        """Execute calls on whichever instance has the worker's id now."""
        for item in list(self._late_calls):
            at_s, call = item
            if now_s < at_s:
                continue
            self._late_calls.remove(item)
            if not self.worker.alive:
                continue
            if isinstance(call, StatusRequest):
                self.worker.status(call, now_s)
            else:
                self.worker.call(call, now_s)

    def _deliver_answer(
        self, call: WorkerCall, answer: CallAnswer, now_s: float
    ) -> None:
        if isinstance(call, StartCall):
            self.vm_agent.on_start_result(
                call, answer.result, answer.reason, now_s, answer.clock_ms
            )
        elif isinstance(call, StopCall):
            self.vm_agent.on_stop_result(call, answer.result, now_s)
        else:
            self.vm_agent.on_pace_result(call, answer.result)
