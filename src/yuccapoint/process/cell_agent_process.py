"""Agent of a VM in a cell: carries out the leader's orders."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

import xxhash

from yuccapoint.cell import cell_records
from yuccapoint.cell import lease_bounds
from yuccapoint.cell.cell_messages import CellMessage
from yuccapoint.cell.cell_messages import LeaderOrders
from yuccapoint.cell.cell_records import Member
from yuccapoint.cell.former_leases import MAX_HOLD_S
from yuccapoint.cell.vm_agent import VmAgent
from yuccapoint.cell.worker_candidates import contradicts
from yuccapoint.cell.worker_candidates import is_confirmed
from yuccapoint.cell.worker_candidates import names_present_worker
from yuccapoint.cell.worker_candidates import needs_answer
from yuccapoint.cell.worker_candidates import WorkerCandidates
from yuccapoint.cell.worker_events import StartCall
from yuccapoint.cell.worker_events import StopCall
from yuccapoint.connection.control_channel import ControlChannel
from yuccapoint.exceptions import FencedError
from yuccapoint.exceptions import YuccapointError
from yuccapoint.process.steady_clock import steady_s
from yuccapoint.process.supervised_task import supervise

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.cell.worker_events import CheckIn
    from yuccapoint.cell.worker_events import StatusRequest
    from yuccapoint.cell.worker_events import WorkerCall
    from yuccapoint.connection.cell_store import CellStore
    from yuccapoint.process.cell_worker_port import CellWorkerPort
    from yuccapoint.process.metrics import Metrics
    from yuccapoint.process.process_logger import ProcessLogger

TICK_S = 0.05
# Pause after a failed poll, in seconds.
POLL_RETRY_S = 0.1
# Calls to a worker that is not known yet, until its next check-in.
CANDIDATE_CALLS = 8
# Longest wait for a leader or a check-in before the next look, in seconds.
NO_LEADER_WAIT_S = 1.0
# Events within this time are combined into one report, in seconds.
REPORT_COALESCE_S = 0.008
# Pause between checks of the registration in the store, in seconds.
REGISTER_EVERY_S = 3.0
# Pause after a failed registration in seconds, doubled up to the interval of
# the checks. Each agent takes 0.5 to 1.5 times the pause, so that the agents
# of a large cell don't return to the store together.
REGISTER_RETRY_S = 0.3


class CellAgentProcess:
    """Connects the agent's decision logic to worker, leader and store.

    Parameters
    ----------
    vm, address : str
        Name of the VM, and address of the agent for control messages.
    store : CellStore
        Records of the cell.
    connect_worker : callable
        Creates a client for the worker's address.
    logger : ProcessLogger
        Receives the log lines.
    metrics : Metrics
        Metrics of the process.
    max_hold_s : float
        Workers shorten longer leases to this.

    Attributes
    ----------
    failed : asyncio.Event
        Set when a component failed; the process has to be restarted.
    """

    def __init__(
        self,
        vm: str,
        address: str,
        store: CellStore,
        connect_worker: Callable[[str], CellWorkerPort],
        logger: ProcessLogger,
        metrics: Metrics,
        max_hold_s: float = MAX_HOLD_S,
    ) -> None:
        self.incarnation = time.time_ns()
        self.vm_agent = VmAgent(
            vm, address, self.incarnation, steady_s(), max_hold_s
        )
        self.logger = logger
        self.metrics = metrics
        self._vm = vm
        self._address = address
        self._store = store
        self._connect_worker = connect_worker
        self._worker: CellWorkerPort | None = None
        self._worker_address = ""
        self._candidates = WorkerCandidates()
        self._candidate_tasks: set[asyncio.Task[None]] = set()
        self._control_channel = ControlChannel(
            address,
            self._on_message,
            logger.log,
            CellMessage,
            steady_s,
            self._on_reopened,
        )
        self._wake = asyncio.Event()
        self._poll_requested = asyncio.Event()
        self._reported_at_s = 0.0
        self._tasks: list[asyncio.Task[None]] = []
        self._calls: set[asyncio.Task[None]] = set()
        self.failed = asyncio.Event()

    def start(self) -> None:
        """Start registration, worker polls and reports to the leader."""
        self._control_channel.open()
        for job in (self._register(), self._run_polls(), self._run()):
            self._tasks.append(supervise(job, self.logger, self.failed))
        self.logger.log("agent", "started", incarnation=self.incarnation)

    async def stop(self) -> None:
        """Stop; running tasks survive a restart on the worker's lease."""
        self.logger.log("agent", "stopping")
        if self._calls:
            await asyncio.wait(self._calls, timeout=1.0)
        request = self.vm_agent.next_status_request()
        if request is not None and self._worker is not None:
            request.wait_ms = 0
            await self._poll_once(self._worker, request)
        self._report(steady_s())
        await asyncio.sleep(REPORT_COALESCE_S)
        for task in (*self._tasks, *self._candidate_tasks):
            task.cancel()
        self._control_channel.close()

    def on_check_in(self, check_in: CheckIn) -> None:
        """Process a check-in, of the worker or of another writer."""
        current = self.vm_agent.check_in
        if contradicts(current, check_in):
            self.logger.log(
                "worker",
                "check-in for another pool ignored",
                worker=check_in.instance.worker_id,
                pool=check_in.pool,
            )
            return
        if not needs_answer(current, check_in):
            self._apply_check_in(check_in)
            return
        if self._candidates.offer(check_in):
            task = asyncio.ensure_future(self._try_candidate(check_in))
            self._candidate_tasks.add(task)
            task.add_done_callback(self._candidate_tasks.discard)

    async def _try_candidate(self, check_in: CheckIn) -> None:
        """Apply a check-in once its worker has answered under its id."""
        worker = self._connect_worker(check_in.address)
        try:
            reason = await self._call_candidate(worker, check_in)
        except Exception as error:  # noqa: BLE001
            # The present worker is still driven.
            reason = repr(error)
        finally:
            worker.close()
            newest = self._candidates.take(check_in)
        if not reason:
            self._apply_check_in(newest)
            return
        self.metrics.count("unanswered_check_ins")
        self.logger.log(
            "worker",
            "check-in ignored: its worker does not answer",
            worker=check_in.instance.worker_id,
            address=check_in.address,
            pool=check_in.pool,
            reason=reason,
        )

    async def _call_candidate(
        self, worker: CellWorkerPort, check_in: CheckIn
    ) -> str:
        """Return why a check-in is not used; empty if its worker answers."""
        reason = ""
        for _ in range(CANDIDATE_CALLS):
            agent = self.vm_agent
            term = fence = 0
            # Another worker must not see the token: it would refuse the
            # calls of its own agent.
            if names_present_worker(agent.check_in, check_in):
                term, fence = agent.term, agent.fence
            try:
                born_ms = await worker.fetch_born_ms(
                    check_in.instance.worker_id, term, fence
                )
                if is_confirmed(agent.check_in, check_in, born_ms):
                    return ""
                if born_ms:
                    # Retries would keep the worker's own check-ins waiting.
                    return f"the worker was started at {born_ms}"
                reason = "the worker doesn't tell when it was started"
            except YuccapointError as error:
                reason = str(error)
            await asyncio.sleep(POLL_RETRY_S)
        return reason

    def _apply_check_in(self, check_in: CheckIn) -> None:
        if not self.vm_agent.on_check_in(check_in, steady_s()):
            self.logger.log(
                "worker",
                "outdated check-in ignored",
                sequence=check_in.sequence,
            )
            return
        if check_in.address != self._worker_address:
            if self._worker is not None:
                self._worker.close()
            self._worker = self._connect_worker(check_in.address)
            self._worker_address = check_in.address
        self._wake.set()
        self._poll_requested.set()

    def on_leave(self, worker_id: str) -> None:
        """Process a worker's notice that it exits."""
        self.vm_agent.on_leave(worker_id, steady_s())
        self._wake.set()

    def on_invalid_check_in(self, text: str) -> None:
        """Count and log an invalid check-in."""
        self.metrics.count("damaged_check_ins")
        self.logger.log("worker", text)

    def _on_message(self, message: CellMessage) -> None:
        if not isinstance(message, LeaderOrders):
            return
        sent_at_s = self.vm_agent.answered_report_at_s(message)
        if sent_at_s is not None:
            self._control_channel.note_delivered(message.address, sent_at_s)
        self.vm_agent.on_orders(message, steady_s())
        self._wake.set()
        self._poll_requested.set()

    def _on_reopened(self, address: str) -> None:
        """Report at once what a silent connection may have lost."""
        if address == self.vm_agent.leader_address:
            self.vm_agent.registry.has_updates = True
            self._wake.set()

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_S):
                    await self._wake.wait()
            self._wake.clear()
            now_s = steady_s()
            for call in self.vm_agent.next_calls(now_s):
                task = asyncio.ensure_future(self._execute_call(call))
                self._calls.add(task)
                task.add_done_callback(self._calls.discard)
            idle_s = now_s - self._reported_at_s
            if (
                self.vm_agent.report_due
                or idle_s >= lease_bounds.REPORT_INTERVAL_S
            ):
                await asyncio.sleep(REPORT_COALESCE_S)
                self._report(steady_s())
            self._log_explanations()

    def _report(self, now_s: float) -> None:
        vm_agent = self.vm_agent
        if not vm_agent.leader_address:
            return
        self._reported_at_s = now_s
        # The crash is counted before the report releases the claims.
        crashes = vm_agent.crash_log.build_report(vm_agent.incarnation, now_s)
        if crashes is not None:
            self._control_channel.send(vm_agent.leader_address, crashes)
        self._control_channel.send(
            vm_agent.leader_address, vm_agent.build_report(now_s)
        )

    async def _execute_call(self, call: WorkerCall) -> None:
        worker, instance = self._worker, call.instance
        if worker is None or instance is None:
            return
        answer = await worker.call(call, instance)
        result, reason = answer.result, answer.reason
        now_s = steady_s()
        self.metrics.count(
            "worker_calls", kind=type(call).__name__, result=result.value
        )
        if isinstance(call, StartCall):
            self.logger.log(
                "worker",
                f"start {result.value}",
                task=call.order.task_id,
                run=call.order.run,
                reason=reason,
            )
            self.vm_agent.on_start_result(
                call, result, reason, now_s, answer.clock_ms
            )
        elif isinstance(call, StopCall):
            self.logger.log(
                "worker",
                f"stop {result.value}",
                task=call.task_id,
                run=call.run,
                reason=reason,
            )
            self.vm_agent.on_stop_result(call, result, now_s)
        else:
            self.vm_agent.on_pace_result(call, result)
        self._wake.set()

    async def _run_polls(self) -> None:
        while True:
            delay_s = self.vm_agent.poll_delay_s(steady_s())
            if delay_s > 0:
                await self._wait_for_poll_request(delay_s)
                continue
            request = self.vm_agent.next_status_request()
            if request is None or self._worker is None:
                await self._wait_for_poll_request(NO_LEADER_WAIT_S)
                continue
            if not await self._poll_once(self._worker, request):
                await asyncio.sleep(POLL_RETRY_S)
            self._wake.set()

    async def _wait_for_poll_request(self, timeout_s: float) -> None:
        """Wait for a check-in or orders, which may make a poll due."""
        self._poll_requested.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._poll_requested.wait()

    async def _poll_once(
        self, worker: CellWorkerPort, request: StatusRequest
    ) -> bool:
        check_in = self.vm_agent.check_in
        if check_in is None:
            return False
        sent_at_s = steady_s()
        try:
            status = await worker.fetch_status(request, check_in.instance)
        except Exception as error:  # noqa: BLE001
            # One answer must not end the agent, which drives other runs.
            self.vm_agent.on_status_failed(
                request, steady_s(), fenced=isinstance(error, FencedError)
            )
            self.logger.log(
                "worker",
                "poll failed, retrying",
                last_seen=request.last_seen,
                error=str(error) or repr(error),
            )
            return False
        self.vm_agent.on_status(request, status, sent_at_s, steady_s())
        if request.last_seen:
            self.metrics.set("acknowledged_end", request.last_seen)
        return True

    async def _register(self) -> None:
        record = Member(self._vm, self._address, self.incarnation)
        key = cell_records.MEMBER + self._vm
        records = [(key, cell_records.encode(record))]
        stagger = 0.5 + xxhash.xxh32_intdigest(self._vm.encode()) / 2**32
        retry_s = REGISTER_RETRY_S
        while True:
            if not self.vm_agent.needs_registration(steady_s()):
                await asyncio.sleep(REGISTER_EVERY_S)
                continue
            try:
                await self._store.append(list(records))
            except YuccapointError as error:
                self.logger.log(
                    "store", "registration failed, retrying", error=str(error)
                )
                await asyncio.sleep(stagger * retry_s)
                retry_s = min(2 * retry_s, REGISTER_EVERY_S)
                continue
            retry_s = REGISTER_RETRY_S
            self.logger.log("store", "registered", vm=self._vm)
            await asyncio.sleep(REGISTER_EVERY_S)

    def _log_explanations(self) -> None:
        for explanation in self.vm_agent.explanations:
            self.logger.log(
                explanation.part, explanation.text, **explanation.fields
            )
        self.vm_agent.explanations.clear()
