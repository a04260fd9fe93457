"""Agent: admission for local endpoints, tasks on the VM's worker."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer

from yuccapoint.connection.control_channel import ControlChannel
from yuccapoint.connection.endpoint_client import EndpointClient
from yuccapoint.connection.entry_directory import EntryDirectory
from yuccapoint.connection.http_worker import HttpWorker
from yuccapoint.connection.messages import AgentReport
from yuccapoint.connection.messages import DrainVm
from yuccapoint.connection.messages import EntryHeartbeat
from yuccapoint.connection.messages import LeaseGrant
from yuccapoint.connection.messages import PairPriors
from yuccapoint.connection.messages import TablesUpdate
from yuccapoint.job.actions import Explain
from yuccapoint.job.actions import Send
from yuccapoint.job.guard import Guard
from yuccapoint.job.lease_rules import REPORT_INTERVAL_S
from yuccapoint.job.size import Size
from yuccapoint.job.task_manager import TaskManager
from yuccapoint.process.announce_api import announce_application
from yuccapoint.process.endpoint_registry import EndpointRegistry
from yuccapoint.process.metrics import Metrics
from yuccapoint.process.process_logger import ProcessLogger
from yuccapoint.process.request_server import RequestServer
from yuccapoint.process.steady_timer import SteadyTimer
from yuccapoint.process.worker_driver import WorkerDriver
from yuccapoint.request.recent_keys import RecentKeys
from yuccapoint.version.table_replica import TableReplica

if TYPE_CHECKING:
    from yuccapoint.connection.messages import ControlMessage
    from yuccapoint.job.actions import Action
    from yuccapoint.job.worker_events import Inventory
    from yuccapoint.job.worker_events import TaskEnded
    from yuccapoint.job.worker_events import UsageSample
    from yuccapoint.process.endpoint_registry import LocalEndpoint
    from yuccapoint.process.served_request import ServedRequest
    from yuccapoint.process.settings.sections import AgentSettings
    from yuccapoint.version.compiled_tables import CompiledTables

TICK_MS = 50
LEAVE_GRACE_S = 2.0


class AgentProcess:
    """Connects an agent's decision logic to sockets, clock and worker.

    Parameters
    ----------
    settings : AgentSettings
        Validated settings.
    """

    def __init__(self, settings: AgentSettings) -> None:
        self.settings = settings
        self.name = settings.process.name
        self.incarnation = time.time_ns() // 1_000_000
        self.logger = ProcessLogger(self.name)
        self.metrics = Metrics()
        self.max_body_bytes = settings.limits.max_body_bytes
        self.stopping = False
        self.alive = True
        self.table_replica = TableReplica()
        self.endpoints = EndpointRegistry(
            settings.limits.slots, settings.limits.connections
        )
        self.recent_keys = RecentKeys()
        self.queued_requests: dict[str, ServedRequest] = {}
        self.client = EndpointClient(self.logger.log)
        self.task_manager = TaskManager(self.name, self.incarnation, Size())
        self.guard = Guard(self.task_manager)
        self.directory = EntryDirectory(settings.entries.seeds)
        self.control_channel = ControlChannel(
            settings.listen.control_address,
            self._on_message,
            self.logger.log,
        )
        self._worker = HttpWorker(
            settings.worker.address, settings.worker.timeout_s
        )
        self.driver = WorkerDriver(
            self._worker, self._on_inventory, self._on_ended, self._on_usage
        )
        self._next_report_at_s = 0.0
        self._requests = RequestServer(self)
        self._announce_server = HTTPServer(announce_application(self))
        self._tick_timer = SteadyTimer(self._tick, TICK_MS)

    @property
    def tables(self) -> CompiledTables:
        """The active tables."""
        return self.table_replica.current

    def start(self) -> None:
        """Listen and start to poll the worker."""
        listen = self.settings.listen
        self.control_channel.open()
        self.driver.start()
        self._tick_timer.start()
        host, _, port = listen.announce_address.rpartition(":")
        self._announce_server.listen(int(port), host)
        host, _, port = listen.session_address.rpartition(":")
        self._requests.listen(int(port), host)
        self.logger.log("agent", f"started incarnation {self.incarnation}")

    async def stop(self) -> list[str]:
        """Stop gracefully.

        Returns
        -------
        list of str
            Work that was aborted because the deadline passed.
        """
        self.logger.log("agent", "stopping")
        self.drain()
        deadline_s = time.monotonic() + self.settings.limits.drain_timeout_s
        # Entries that have not seen the report still send requests; these
        # are refused as not run and are retried elsewhere.
        await asyncio.sleep(LEAVE_GRACE_S)
        while self.unfinished() and time.monotonic() < deadline_s:
            await asyncio.sleep(TICK_MS / 1000)
        cut = self.unfinished()
        await self._requests.flush(deadline_s)
        self.kill()
        self.logger.log("agent", "stopped", cut=cut)
        return cut

    def drain(self) -> None:
        """Refuse new work and checkpoint the tasks."""
        self.stopping = True
        self.task_manager.stopping = True
        actions: list[Action] = []
        for task in list(self.task_manager.tasks.values()):
            self.task_manager.stop(
                task.job_id, task.attempt, "the VM is drained", actions
            )
        self.execute(actions)
        self.report()

    def kill(self) -> None:
        """Close everything at once, as if the process had crashed."""
        self.alive = False
        self._tick_timer.stop()
        self.driver.stop()
        self._worker.close()
        self.control_channel.close()
        self._requests.stop()
        self._requests.close_all()
        self._announce_server.stop()
        self.client.close()

    def start_queued(self, endpoint: LocalEndpoint) -> None:
        """Start queued requests for which a slot is free."""
        now_s = time.monotonic()
        for late in endpoint.admission.expire(now_s):
            request = self.queued_requests.get(late.request_key)
            if request is not None:
                request.on_expired()
        for dropped in endpoint.admission.pop_evicted():
            request = self.queued_requests.get(dropped.request_key)
            if request is not None:
                request.on_displaced()
        while True:
            ticket = endpoint.admission.start_next(now_s)
            if ticket is None:
                return
            request = self.queued_requests.get(ticket.request_key)
            if request is None:
                endpoint.admission.finish(ticket.request_key, now_s)
                continue
            request.on_admitted()

    def execute(self, actions: list[Action]) -> None:
        """Execute actions of the decision logic."""
        for action in actions:
            if isinstance(action, Send):
                self.control_channel.send(action.address, action.message)
                continue
            if isinstance(action, Explain):
                self.logger.log(action.part, action.text, **action.fields)
                continue
            self.driver.execute(action)

    def report(self) -> None:
        """Send a report to all entries."""
        now_s = time.monotonic()
        self._next_report_at_s = now_s + REPORT_INTERVAL_S
        if self.task_manager.inventory_loaded:
            preferred = self.directory.rank_leaders(self.name, now_s)
            self.task_manager.choose_leader(preferred, now_s)
        message = self._make_report(now_s)
        for address in self.directory.control_addresses(now_s):
            self.control_channel.send(address, message)

    def _make_report(self, now_s: float) -> AgentReport:
        process = self.settings.process
        listen = self.settings.listen
        task_manager = self.task_manager
        return AgentReport(
            vm=self.name,
            incarnation=self.incarnation,
            sequence=task_manager.next_sequence(now_s),
            term=task_manager.term,
            requested_leader=task_manager.candidate,
            leader=task_manager.leader,
            pool=process.pool,
            data_centre=process.data_centre,
            region=process.region,
            rack=process.rack,
            control_address=listen.control_address,
            session_address=listen.session_address,
            capacity=task_manager.allocator.capacity,
            free=task_manager.allocator.free,
            ready=task_manager.inventory_loaded and self._accepts_batch(now_s),
            stopping=self.stopping,
            tables_version=self.table_replica.reported_version,
            endpoints=self.endpoints.reports(now_s, stopping=self.stopping),
            tasks=[task.report for task in task_manager.tasks.values()],
            pairs=self.guard.pair_report(now_s),
        )

    def _tick(self) -> None:
        now_s = time.monotonic()
        self.directory.tick(now_s)
        for endpoint in self.endpoints.all():
            self.start_queued(endpoint)
        if now_s >= self._next_report_at_s:
            self.report()

    def unfinished(self) -> list[str]:
        """List the work that an immediate stop would abort."""
        busy = []
        for endpoint in self.endpoints.all():
            count = len(endpoint.admission.running)
            count += endpoint.admission.queued
            if count:
                name = endpoint.announcement.name
                busy.append(f"{count} requests at {name}")
        for task in self.task_manager.tasks.values():
            busy.append(f"job {task.job_id} attempt {task.attempt}")
        if not busy and self._requests.in_flight:
            busy.append(f"{self._requests.in_flight} requests in transit")
        return busy

    def _on_message(self, message: ControlMessage) -> None:
        now_s = time.monotonic()
        if isinstance(message, EntryHeartbeat):
            self.directory.on_heartbeat(message, now_s)
            if message.stopping and self.task_manager.on_leader_stopping(
                message.entry
            ):
                self.report()
            return
        if isinstance(message, LeaseGrant):
            self.execute(self.task_manager.on_grant(message, now_s))
            return
        if isinstance(message, PairPriors):
            self.guard.apply_priors(message.pairs, now_s)
            return
        if isinstance(message, TablesUpdate):
            self._install_tables(message)
            return
        if isinstance(message, DrainVm) and message.vm == self.name:
            self.logger.log("agent", f"drain requested by {message.operator}")
            self.drain()

    def _install_tables(self, update: TablesUpdate) -> None:
        if self.table_replica.apply(update):
            self.logger.log("tables", f"version {update.version} is in force")
            self.report()

    def _on_inventory(
        self, inventory: Inventory, past_ends: list[TaskEnded]
    ) -> None:
        self.task_manager.allocator.capacity = inventory.capacity
        self.execute(self.task_manager.on_inventory(inventory.running))
        for ended in past_ends:
            self.execute(self.task_manager.on_replayed_end(ended))
        self.report()

    def _on_ended(self, ended: TaskEnded) -> None:
        self.execute(self.task_manager.on_ended(ended))
        self.report()

    def _accepts_batch(self, now_s: float) -> bool:
        pool = self.tables.pools.get(self.settings.process.pool)
        if pool is None or not pool.guard:
            return True
        return self.guard.accepts_batch(now_s)

    def _on_usage(self, samples: list[UsageSample]) -> None:
        pool = self.tables.pools.get(self.settings.process.pool)
        if pool is None:
            return
        if not pool.guard:
            self.execute(self.guard.release())
            return
        self.guard.configure(
            self.endpoints.service(), pool.tail_weight, pool.eviction_weight
        )
        self.execute(self.guard.on_usage(samples, time.monotonic()))
