"""The agent of a VM in a cell: obeys the leader and drives the worker."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import Protocol
from typing import TYPE_CHECKING

from yuccapoint.cell import cell_records
from yuccapoint.cell import lease_bounds
from yuccapoint.cell.cell_messages import CellMessage
from yuccapoint.cell.cell_messages import LeaderOrders
from yuccapoint.cell.cell_records import Member
from yuccapoint.cell.vm_agent import VmAgent
from yuccapoint.cell.worker_events import StartCall
from yuccapoint.cell.worker_events import StopCall
from yuccapoint.connection.control_channel import ControlChannel
from yuccapoint.exceptions import YuccapointError
from yuccapoint.process.steady_clock import steady_s
from yuccapoint.process.watched_task import watched

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.cell.worker_events import CallResult
    from yuccapoint.cell.worker_events import CheckIn
    from yuccapoint.cell.worker_events import StatusRequest
    from yuccapoint.cell.worker_events import WorkerCall
    from yuccapoint.cell.worker_events import WorkerStatus
    from yuccapoint.connection.cell_store import CellStore
    from yuccapoint.process.logs import Logs
    from yuccapoint.process.metrics import Metrics

TICK_S = 0.05
# Pause after a look without answer, and while there is no leader, seconds.
LOOK_RETRY_S = 0.1
# Events of this span go into one report, in seconds.
COALESCE_S = 0.008
# Pause between two registrations in the store, in seconds.
REGISTER_EVERY_S = 3.0
REGISTER_RETRY_S = 0.3


class WorkerPort(Protocol):
    """What an agent needs of its worker."""

    async def call(
        self, call: WorkerCall, worker_id: str
    ) -> tuple[CallResult, str]:
        """Start, stop or pace a run; give the result and a reason."""

    async def fetch_status(
        self, request: StatusRequest, worker_id: str
    ) -> WorkerStatus:
        """Renew the worker's lease and list what runs and ended there."""

    def close(self) -> None:
        """Drop the connections."""


class CellAgentProcess:
    """Wires an agent's decisions to worker, leader and store.

    Parameters
    ----------
    vm, address : str
        Name of the VM and where control messages reach the agent.
    store : CellStore
        Records of the cell.
    connect_worker : callable
        Makes a client for the worker's address.
    logs : Logs
        Where decisions are said.
    metrics : Metrics
        Counters of the process.

    Attributes
    ----------
    failed : asyncio.Event
        Set when a part of the process failed; it has to start anew.
    """

    def __init__(
        self,
        vm: str,
        address: str,
        store: CellStore,
        connect_worker: Callable[[str], WorkerPort],
        logs: Logs,
        metrics: Metrics,
    ) -> None:
        self.incarnation = time.time_ns()
        self.keeper = VmAgent(vm, address, self.incarnation, steady_s())
        self.logs = logs
        self.metrics = metrics
        self._vm = vm
        self._address = address
        self._store = store
        self._connect_worker = connect_worker
        self._worker: WorkerPort | None = None
        self._worker_address = ""
        self._mailbox = ControlChannel(address, self._on_message, CellMessage)
        self._wake = asyncio.Event()
        self._look_wanted = asyncio.Event()
        self._reported_at_s = 0.0
        self._redialed_at_s = 0.0
        self._tasks: list[asyncio.Task[None]] = []
        self._calls: set[asyncio.Task[None]] = set()
        self.failed = asyncio.Event()

    def start(self) -> None:
        """Register, follow the leader and look at the worker."""
        self._mailbox.open()
        for job in (self._register(), self._look(), self._run()):
            self._tasks.append(watched(job, self.logs, self.failed))
        self.logs.say("agent", "started", incarnation=self.incarnation)

    async def stop(self) -> None:
        """Stop; the worker's lease carries its tasks over a restart."""
        self.logs.say("agent", "stopping")
        if self._calls:
            await asyncio.wait(self._calls, timeout=1.0)
        request = self.keeper.next_status_request()
        if request is not None and self._worker is not None:
            request.wait_ms = 0
            await self._look_once(self._worker, request)
        self._report(steady_s())
        await asyncio.sleep(COALESCE_S)
        for task in self._tasks:
            task.cancel()
        self._mailbox.close()

    def on_check_in(self, check_in: CheckIn) -> None:
        """Take a check-in of the worker."""
        if not self.keeper.on_check_in(check_in, steady_s()):
            self.logs.say(
                "worker", "an old check-in", sequence=check_in.sequence
            )
            return
        if check_in.address != self._worker_address:
            if self._worker is not None:
                self._worker.close()
            self._worker = self._connect_worker(check_in.address)
            self._worker_address = check_in.address
        self._wake.set()
        self._look_wanted.set()

    def on_leave(self, worker_id: str) -> None:
        """Take a worker's notice that it ends."""
        self.keeper.on_leave(worker_id)
        self._wake.set()

    def on_damaged(self, text: str) -> None:
        """Log a check-in that can't be used."""
        self.metrics.count("damaged_check_ins")
        self.logs.say("worker", text)

    def _on_message(self, message: CellMessage) -> None:
        if not isinstance(message, LeaderOrders):
            return
        self.keeper.on_orders(message, steady_s())
        self._wake.set()
        self._look_wanted.set()

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_S):
                    await self._wake.wait()
            self._wake.clear()
            now_s = steady_s()
            for call in self.keeper.next_calls(now_s):
                task = asyncio.ensure_future(self._call(call))
                self._calls.add(task)
                task.add_done_callback(self._calls.discard)
            idle_s = now_s - self._reported_at_s
            if (
                self.keeper.report_due
                or idle_s >= lease_bounds.REPORT_INTERVAL_S
            ):
                await asyncio.sleep(COALESCE_S)
                self._report(steady_s())
            self._flush_explanations()

    def _report(self, now_s: float) -> None:
        keeper = self.keeper
        if not keeper.leader_address:
            return
        silent_s = now_s - max(keeper.leader_heard_at_s, self._redialed_at_s)
        if silent_s > lease_bounds.RECONNECT_AFTER_S:
            self._redialed_at_s = now_s
            self._mailbox.reconnect(keeper.leader_address)
        self._reported_at_s = now_s
        self._mailbox.send(keeper.leader_address, keeper.build_report(now_s))

    async def _call(self, call: WorkerCall) -> None:
        worker, check_in = self._worker, self.keeper.check_in
        if worker is None or check_in is None:
            return
        result, reason = await worker.call(call, check_in.instance.worker_id)
        now_s = steady_s()
        self.metrics.count(
            "worker_calls", kind=type(call).__name__, result=result.value
        )
        if isinstance(call, StartCall):
            self.logs.say(
                "worker",
                f"start {result.value}",
                task=call.order.task_id,
                run=call.order.run,
                reason=reason,
            )
            self.keeper.on_start_result(call, result, reason, now_s)
        elif isinstance(call, StopCall):
            self.logs.say(
                "worker",
                f"stop {result.value}",
                task=call.task_id,
                run=call.run,
                reason=reason,
            )
            self.keeper.on_stop_result(call, result, now_s)
        else:
            self.keeper.on_pace_result(call, result)
        self._wake.set()

    async def _look(self) -> None:
        while True:
            request = self.keeper.next_status_request()
            if request is None or self._worker is None:
                self._look_wanted.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(1.0):
                        await self._look_wanted.wait()
                continue
            if not await self._look_once(self._worker, request):
                await asyncio.sleep(LOOK_RETRY_S)
            self._wake.set()

    async def _look_once(
        self, worker: WorkerPort, request: StatusRequest
    ) -> bool:
        check_in = self.keeper.check_in
        if check_in is None:
            return False
        sent_at_s = steady_s()
        try:
            look = await worker.fetch_status(
                request, check_in.instance.worker_id
            )
        except YuccapointError as error:
            self.keeper.on_status_failed()
            self.logs.say("worker", "no look", error=str(error))
            return False
        self.keeper.on_status(look, sent_at_s, steady_s())
        return True

    async def _register(self) -> None:
        record = Member(self._vm, self._address, self.incarnation)
        records = [
            (cell_records.MEMBER + self._vm, cell_records.encode(record))
        ]
        while True:
            if not self.keeper.needs_registration(steady_s()):
                await asyncio.sleep(REGISTER_EVERY_S)
                continue
            try:
                await self._store.append(list(records))
            except YuccapointError as error:
                self.logs.say("store", "not registered", error=str(error))
                await asyncio.sleep(REGISTER_RETRY_S)
                continue
            self.logs.say("store", "registered", vm=self._vm)
            await asyncio.sleep(REGISTER_EVERY_S)

    def _flush_explanations(self) -> None:
        for said in self.keeper.explanations:
            self.logs.say(said.part, said.text, **said.fields)
        self.keeper.explanations.clear()
