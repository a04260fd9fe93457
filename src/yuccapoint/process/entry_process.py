"""Entry: callers' requests, batch leadership, operators' edits."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import msgspec

from yuccapoint.connection.control_channel import ControlChannel
from yuccapoint.connection.draining_http_server import DrainingHttpServer
from yuccapoint.connection.entry_directory import EntryDirectory
from yuccapoint.connection.http_log import HttpLog
from yuccapoint.connection.log_writer import LogWriter
from yuccapoint.connection.messages import AgentReport
from yuccapoint.connection.messages import EntryHeartbeat
from yuccapoint.connection.messages import TablesUpdate
from yuccapoint.exceptions import YuccapointError
from yuccapoint.job.actions import Append
from yuccapoint.job.actions import Explain
from yuccapoint.job.actions import Send
from yuccapoint.job.batch_leader import BatchLeader
from yuccapoint.job.records import EntryLeft
from yuccapoint.job.records import EntryRenewed
from yuccapoint.job.records import SnapshotChunk
from yuccapoint.process.agent_key_client import AgentKeyClient
from yuccapoint.process.authenticator import Authenticator
from yuccapoint.process.caller_server import CallerServer
from yuccapoint.process.cell_state import CellState
from yuccapoint.process.credentials import reload_credentials
from yuccapoint.process.decision_history import DecisionHistory
from yuccapoint.process.entry_heartbeat import build_heartbeat
from yuccapoint.process.log_pump import LogPump
from yuccapoint.process.metrics import Metrics
from yuccapoint.process.operator_api import COMMIT_TIMEOUT_S
from yuccapoint.process.operator_api import operator_application
from yuccapoint.process.pending_commits import PendingCommits
from yuccapoint.process.process_logger import ProcessLogger
from yuccapoint.process.request_forwarder import RequestForwarder
from yuccapoint.process.request_keys import RequestKeys
from yuccapoint.process.snapshot_schedule import SnapshotSchedule
from yuccapoint.process.snapshot_writer import SnapshotWriter
from yuccapoint.process.steady_timer import SteadyTimer
from yuccapoint.process.tables_exchange import TablesExchange
from yuccapoint.process.tls_context import create_tls_context
from yuccapoint.request.customer_rate_limiter import CustomerRateLimiter
from yuccapoint.request.in_flight_limit import InFlightLimit
from yuccapoint.request.region_link_budget import RegionLinkBudget
from yuccapoint.request.router import Router
from yuccapoint.version.table_feed import TableFeed
from yuccapoint.version.table_relay import TableRelay

if TYPE_CHECKING:
    from tornado.httpserver import HTTPServer

    from yuccapoint.connection.messages import ControlMessage
    from yuccapoint.job.actions import Action
    from yuccapoint.job.records import Record
    from yuccapoint.process.cell_state import AppliedRecord
    from yuccapoint.process.settings.sections import EntrySettings

TICK_MS = 50
HEARTBEAT_MS = 1_000
LEAVE_TIMEOUT_S = 2.0
LEAVE_GRACE_S = 2.0
ADDRESSES_EVERY_REPORTS = 8
MAX_HEADER_BYTES = 65_536


class EntryProcess:
    """Connects an entry's decision logic to sockets, clock and log.

    Parameters
    ----------
    settings : EntrySettings
        Validated settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.name = settings.process.name
        self.incarnation = time.time_ns() // 1_000_000
        self.entry_id = f"{self.name}@{self.incarnation}"
        self.rng = random.Random(self.incarnation)
        self.decisions = DecisionHistory()
        self.logger = ProcessLogger(self.name, self.decisions.add_log_line)
        self.metrics = Metrics()
        self.authenticator = Authenticator(settings.access.tokens_file)
        self.tls = create_tls_context(settings.access)
        self.max_body_bytes = settings.limits.max_body_bytes
        self.in_flight_limit = InFlightLimit(settings.limits.max_in_flight)
        self.customer_rate_limiter = CustomerRateLimiter()
        self.leaving = False
        self.stopping = False
        self.log_fault = ""
        self.cell = CellState()
        self.router = Router(
            settings.process.data_centre,
            settings.process.region,
            self.rng,
            self.name,
        )
        self.leader = BatchLeader(
            self.entry_id, self.cell.board, self.cell.tables.pool, self.rng
        )
        self.directory = EntryDirectory(settings.entries.seeds)
        self.feed = TableFeed(self.cell.tables)
        self.table_relay = TableRelay(self.entry_id)
        self.agent_versions: dict[str, int] = {}
        self.forwarder = RequestForwarder(
            self.name,
            self.incarnation,
            self.router,
            self.rng,
            self.logger,
            self.metrics,
            RegionLinkBudget(settings.limits.cross_region_bytes_per_s),
        )
        self.agent_keys = AgentKeyClient(
            self.forwarder, self.router, self.cell.key_owners
        )
        self.writer = LogWriter(self.entry_id)
        self.commits = PendingCommits(self.writer)
        self.request_keys = RequestKeys(
            self.agent_keys, self.commits, self.writer
        )
        self.log = HttpLog(
            settings.log.address, settings.log.stream, settings.log.timeout_s
        )
        self.pump = LogPump(
            self.log,
            self.writer,
            self.cell,
            self._on_applied,
            self._on_log_status,
            self.rng,
            self._on_restored,
        )
        self.schedule = SnapshotSchedule(
            settings.log.snapshot_every_records,
            settings.log.snapshot_every_s,
            self.rng,
        )
        self.snapshots = SnapshotWriter(
            self.entry_id, self.cell, self.pump, self.writer, self.schedule
        )
        self._snapshot_task: asyncio.Task[None] | None = None
        self.control_channel = ControlChannel(
            settings.listen.control_address,
            self._on_message,
            self.logger.log,
        )
        self._tables_exchange = TablesExchange(
            self.cell,
            self.feed,
            self.directory,
            self.table_relay,
            self.control_channel,
            self.logger,
        )
        self._request_number = 0
        self._callers = DrainingHttpServer(
            CallerServer(self),
            max_body_size=1 << 40,
            max_header_size=MAX_HEADER_BYTES,
            ssl_options=self.tls.context if self.tls else None,
        )
        self._operators = DrainingHttpServer(
            operator_application(self),
            ssl_options=self.tls.context if self.tls else None,
        )
        self._tick_timer = SteadyTimer(self._tick, TICK_MS)
        self._heartbeat_timer = SteadyTimer(
            self._send_heartbeats, HEARTBEAT_MS
        )

    @property
    def in_flight(self) -> int:
        """Number of requests in flight at this entry."""
        return self.in_flight_limit.count

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send requests to this entry."""
        can_serve = self.pump.caught_up or self.cell.tables.current.version > 0
        return can_serve and not self.leaving

    def start(self) -> None:
        """Listen, read the log and start the decision logic."""
        listen = self.settings.listen
        self.control_channel.open()
        self.pump.start()
        self._tick_timer.start()
        self._heartbeat_timer.start()
        _listen(self._operators, listen.operator_address)
        _listen(self._callers, listen.caller_address)
        self.logger.log("entry", f"started as {self.entry_id}")

    async def stop(self) -> list[str]:
        """Stop gracefully.

        Returns
        -------
        list of str
            Work that was aborted because the deadline passed; empty if all
            requests completed.
        """
        self.leaving = True
        self._send_heartbeats()
        self.logger.log("entry", "stopping", in_flight=self.in_flight)
        deadline_s = time.monotonic() + self.settings.limits.drain_timeout_s
        # The load balancer sees that this entry is not ready and stops
        # sending requests.
        await asyncio.sleep(LEAVE_GRACE_S)
        self.stopping = True
        self._callers.stop()
        # Until a connection is closed, the kernel takes requests on it.
        while self._callers.close_idle_connections() or self.in_flight:
            if time.monotonic() >= deadline_s:
                break
            await asyncio.sleep(TICK_MS / 1000)
        cut = self.unfinished()
        await self._drain_operators(deadline_s)
        await self._record_departure()
        self.kill()
        self.logger.log("entry", "stopped", cut=cut)
        return cut

    def unfinished(self) -> list[str]:
        """List the work that an immediate stop would abort."""
        if not self.in_flight:
            return []
        return [f"{self.in_flight} requests in flight"]

    def kill(self) -> None:
        """Close everything at once, as if the process had crashed."""
        self._tick_timer.stop()
        self._heartbeat_timer.stop()
        self.pump.stop()
        if self._snapshot_task is not None:
            self._snapshot_task.cancel()
        self.log.close()
        self.control_channel.close()
        self.forwarder.close()
        for server in (self._callers, self._operators):
            server.stop()
            server.close_at_once()

    def next_request_id(self) -> str:
        """Return a request id that is unique across entries."""
        self._request_number += 1
        return f"{self.entry_id}-{self._request_number}"

    def execute(self, actions: list[Action]) -> None:
        """Execute actions of the decision logic."""
        for action in actions:
            if isinstance(action, Append):
                self.writer.add(
                    self._with_address(action.record),
                    time.monotonic(),
                    urgent=action.urgent,
                    bounded=False,
                )
                continue
            if isinstance(action, Send):
                self.control_channel.send(action.address, action.message)
                continue
            if isinstance(action, Explain):
                self.logger.log(action.part, action.text, **action.fields)

    def _with_address(self, record: Record) -> Record:
        if isinstance(record, EntryRenewed):
            address = self.settings.listen.control_address
            return EntryRenewed(record.entry, address)
        return record

    async def _drain_operators(self, deadline_s: float) -> None:
        deadline_s = min(deadline_s, time.monotonic() + COMMIT_TIMEOUT_S)
        self._operators.stop()
        # Operators who watch decisions do so until the process ends.
        while (
            self._operators.close_idle_connections()
            > self.decisions.subscriber_count
        ):
            if time.monotonic() >= deadline_s:
                return
            await asyncio.sleep(TICK_MS / 1000)

    async def _record_departure(self) -> None:
        record = EntryLeft(self.entry_id)
        try:
            await self.commits.commit(
                record, time.monotonic(), LEAVE_TIMEOUT_S
            )
        except YuccapointError as error:
            self.logger.log(
                "entry", f"departure not recorded in the log: {error}"
            )

    def _tick(self) -> None:
        now_s = time.monotonic()
        paused_s = self.directory.tick(now_s)
        if paused_s:
            self.logger.log("entry", f"process stalled for {paused_s:.1f} s")
        if not self.pump.caught_up or self.leaving:
            return
        self.writer.set_entry_count(len(self.cell.board.renewed_ms))
        self.execute(self.leader.tick(now_s, time.time_ns() // 1_000_000))
        if self.snapshots.active or self.log_fault:
            return
        if self.schedule.should_begin(self.cell.next_offset, now_s):
            self._snapshot_task = asyncio.ensure_future(self._snapshot())

    async def _snapshot(self) -> None:
        fault = await self.snapshots.write()
        self.logger.log(
            "snapshot",
            fault or "snapshot written to the log",
            size_bytes=self.snapshots.size_bytes,
            held_s=round(self.snapshots.paused_s, 3),
        )

    def _on_restored(self) -> None:
        """Reset the decision logic after a restore from a snapshot."""
        now_s = time.monotonic()
        offset = self.cell.next_offset
        self.logger.log(
            "snapshot", f"state restored from a snapshot at offset {offset}"
        )
        self.schedule.on_complete(offset, now_s)
        self.commits.on_restored(self.cell)
        views = self.leader.views
        self.leader = BatchLeader(
            self.entry_id, self.cell.board, self.cell.tables.pool, self.rng
        )
        self.leader.views.update(views)

    def _send_heartbeats(self) -> None:
        now_s = time.monotonic()
        reload_credentials(self.authenticator, self.tls, self.logger)
        heartbeat = build_heartbeat(self, now_s)
        self.router.entry_count = max(
            1, len(self.directory.live_entries(now_s))
        )
        for address in self.directory.control_addresses(now_s):
            if address != self.settings.listen.control_address:
                self.control_channel.send(address, heartbeat)
        self.directory.on_heartbeat(heartbeat, now_s)

    def _on_message(self, message: ControlMessage) -> None:
        now_s = time.monotonic()
        if isinstance(message, EntryHeartbeat):
            self.directory.on_heartbeat(message, now_s)
            self.customer_rate_limiter.on_peer_demand(
                message.entry, message.demand, now_s
            )
            self._tables_exchange.offer(message, now_s)
            return
        if isinstance(message, TablesUpdate):
            self._tables_exchange.accept(message)
            return
        if isinstance(message, AgentReport):
            self._on_report(message, now_s)

    def _on_report(self, report: AgentReport, now_s: float) -> None:
        self.router.on_report(report, now_s)
        self.agent_versions[report.vm] = report.tables_version
        heartbeat = build_heartbeat(self, now_s)
        if report.sequence % ADDRESSES_EVERY_REPORTS:
            heartbeat = msgspec.structs.replace(heartbeat, known_addresses=[])
        self.control_channel.send(report.control_address, heartbeat)
        if self.pump.caught_up and not self.leaving:
            self.execute(self.leader.on_report(report, now_s))
        leads = report.leader in ("", self.entry_id)
        version = report.tables_version
        if self.feed.should_feed(report.vm, version, now_s, leads=leads):
            update = self.feed.update_since(report.pool, version)
            if update is not None:
                self.control_channel.send(report.control_address, update)

    def _on_applied(self, applied: list[AppliedRecord]) -> None:
        now_s = time.monotonic()
        for outcome in applied:
            self._on_renewal(outcome, now_s)
            if isinstance(outcome.record, SnapshotChunk):
                self.schedule.on_chunk(outcome.record, now_s)
            if self.pump.caught_up:
                actions = self.leader.on_record(
                    outcome.record, outcome.refusal, now_s
                )
                self.execute(actions)
        self.commits.on_applied(applied)

    def _on_renewal(self, outcome: AppliedRecord, now_s: float) -> None:
        if not isinstance(outcome.record, EntryRenewed):
            return
        self.directory.add_address(outcome.record.control_address, now_s)
        if outcome.writer != self.entry_id or outcome.refusal:
            return
        self.leader.on_renewal_acked(
            self.writer.first_sent_at_s(outcome.sequence)
        )

    def _on_log_status(self, text: str) -> None:
        if not text:
            self.agent_keys.log_answered_at_s = time.monotonic()
        if bool(text) == bool(self.log_fault):
            return
        self.log_fault = text
        self.metrics.set("log_down", float(bool(text)))
        self.logger.log("log", text or "the log answers again")


def _listen(server: HTTPServer, address: str) -> None:
    host, _, port = address.rpartition(":")
    server.listen(int(port), host)
