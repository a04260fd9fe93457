"""An entry: callers' requests, batch leadership, operators' edits."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer
from tornado.ioloop import PeriodicCallback

from yuccapoint.connection.entry_directory import EntryDirectory
from yuccapoint.connection.http_log import HttpLog
from yuccapoint.connection.log_writer import LogWriter
from yuccapoint.connection.mailbox import Mailbox
from yuccapoint.connection.messages import AgentReport
from yuccapoint.connection.messages import EntryHello
from yuccapoint.connection.messages import TablesUpdate
from yuccapoint.exceptions import YuccapointError
from yuccapoint.job.actions import Append
from yuccapoint.job.actions import Explain
from yuccapoint.job.actions import Send
from yuccapoint.job.batch_leader import BatchLeader
from yuccapoint.job.records import EntryLeft
from yuccapoint.job.records import EntryRenewed
from yuccapoint.job.records import KeyClaimed
from yuccapoint.job.records import KeyReleased
from yuccapoint.process.access import Access
from yuccapoint.process.agent_keys import AgentKeys
from yuccapoint.process.caller_server import CallerServer
from yuccapoint.process.cell_state import CellState
from yuccapoint.process.commits import Commits
from yuccapoint.process.decisions import Decisions
from yuccapoint.process.log_pump import LogPump
from yuccapoint.process.logs import Logs
from yuccapoint.process.metrics import Metrics
from yuccapoint.process.operator_api import operator_application
from yuccapoint.process.request_forwarder import RequestForwarder
from yuccapoint.request.customer_limits import CustomerLimits
from yuccapoint.request.exceptions import RepeatedKeyError
from yuccapoint.request.exceptions import RequestError
from yuccapoint.request.in_flight import InFlight
from yuccapoint.request.link_budget import LinkBudget
from yuccapoint.request.router import Router
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    from yuccapoint.connection.messages import ControlMessage
    from yuccapoint.job.actions import Action
    from yuccapoint.process.cell_state import Applied
    from yuccapoint.process.settings.sections import EntrySettings
    from yuccapoint.request.service_request import ServiceRequest

TICK_MS = 50
HELLO_MS = 1_000
LEAVE_TIMEOUT_S = 2.0
MAX_HEADER_BYTES = 65_536


class EntryProcess:
    """Wires an entry's decision logic to sockets, clock and log.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.name = settings.process.name
        self.incarnation = time.time_ns() // 1_000_000
        self.entry_id = f"{self.name}@{self.incarnation}"
        self.rng = random.Random(self.incarnation)
        self.logs = Logs(self.name)
        self.metrics = Metrics()
        self.decisions = Decisions()
        self.access = Access(settings.access.tokens_file)
        self.max_body_bytes = settings.limits.max_body_bytes
        self.held = InFlight(settings.limits.max_in_flight)
        self.customer_limits = CustomerLimits()
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
        self.agent_versions: dict[str, int] = {}
        self.forwarder = RequestForwarder(
            self.name,
            self.incarnation,
            self.router,
            self.rng,
            self.logs,
            self.metrics,
            LinkBudget(settings.limits.cross_region_bytes_per_s),
        )
        self.agent_keys = AgentKeys(
            self.forwarder, self.router, self.cell.key_owners
        )
        self.writer = LogWriter(self.entry_id)
        self.commits = Commits(self.writer)
        self.log = HttpLog(
            settings.log.address, settings.log.stream, settings.log.timeout_s
        )
        self.pump = LogPump(
            self.log,
            self.writer,
            self.cell,
            self._on_applied,
            self._on_outage,
            self.rng,
        )
        self.mailbox = Mailbox(
            settings.listen.control_address, self._on_message
        )
        self._request_number = 0
        self._callers = HTTPServer(
            CallerServer(self),
            max_body_size=1 << 40,
            max_header_size=MAX_HEADER_BYTES,
        )
        self._operators = HTTPServer(operator_application(self))
        self._ticker = PeriodicCallback(self._tick, TICK_MS)
        self._greeter = PeriodicCallback(self._greet, HELLO_MS)

    @property
    def in_flight(self) -> int:
        """Requests that this entry holds."""
        return self.held.count

    @property
    def ready(self) -> bool:
        """Whether the balancer may send requests here."""
        return self.pump.caught_up and not self.stopping

    def start(self) -> None:
        """Listen, read the log and begin to decide."""
        listen = self.settings.listen
        self.mailbox.open()
        self.pump.start()
        self._ticker.start()
        self._greeter.start()
        _listen(self._operators, listen.operator_address)
        _listen(self._callers, listen.caller_address)
        self.logs.say("entry", f"started as {self.entry_id}")

    async def stop(self) -> list[str]:
        """Stop as planned.

        Returns
        -------
        list of str
            What had to be cut because the deadline passed; empty if all
            requests ended.
        """
        self.stopping = True
        self._greet()
        self.logs.say("entry", "stopping", in_flight=self.in_flight)
        self._callers.stop()
        deadline_s = time.monotonic() + self.settings.limits.drain_timeout_s
        while self.in_flight and time.monotonic() < deadline_s:
            await asyncio.sleep(TICK_MS / 1000)
        cut = []
        if self.in_flight:
            cut.append(f"{self.in_flight} requests in flight")
        await self._leave()
        self.kill()
        self.logs.say("entry", "stopped", cut=cut)
        return cut

    def kill(self) -> None:
        """Drop everything at once, as if the process died."""
        self._ticker.stop()
        self._greeter.stop()
        self.pump.stop()
        self.log.close()
        self.mailbox.close()
        self.forwarder.close()
        self._callers.stop()
        self._operators.stop()

    def next_request_id(self) -> str:
        """Name a request uniquely over all entries."""
        self._request_number += 1
        return f"{self.entry_id}-{self._request_number}"

    async def claim_key(self, request: ServiceRequest) -> None:
        """Claim a request's key in the log if its route asks for it.

        Raises
        ------
        RepeatedKeyError
            The key was claimed before.
        RequestError
            The log did not decide the claim in time; the request was not
            run, and the claim is released should it still arrive.
        """
        if not request.key:
            return
        if request.route.once == "agent" and not request.idempotent:
            await self.agent_keys.claim(request)
        if request.route.once != "log":
            return
        record = KeyClaimed(
            request.customer,
            request.route.name,
            request.key,
            request.request_id,
        )
        now_s = time.monotonic()
        left_s = request.deadline_s - now_s
        try:
            refusal = await self.commits.commit(record, now_s, left_s)
        except YuccapointError as error:
            refused = RequestError(str(error), Verdict.NOT_RUN, 1.0)
            await self.release_key(request, refused)
            raise refused from None
        if refusal:
            raise RepeatedKeyError("a request with this key was accepted")

    async def release_key(
        self, request: ServiceRequest, error: RequestError
    ) -> None:
        """Free the key of a request that certainly did not run."""
        if not request.key or error.verdict is not Verdict.NOT_RUN:
            return
        self.agent_keys.release(request)
        if request.route.once != "log":
            return
        record = KeyReleased(
            request.customer,
            request.route.name,
            request.key,
            request.request_id,
        )
        self.writer.add(record, time.monotonic())

    def act(self, actions: list[Action]) -> None:
        """Carry out what decision logic asked for."""
        for action in actions:
            if isinstance(action, Append):
                self.writer.add(
                    action.record,
                    time.monotonic(),
                    urgent=action.urgent,
                    bounded=False,
                )
                continue
            if isinstance(action, Send):
                self.mailbox.send(action.address, action.message)
                continue
            if isinstance(action, Explain):
                self.decisions.note(action)
                self.logs.say(action.part, action.text, **action.fields)

    async def _leave(self) -> None:
        record = EntryLeft(self.entry_id)
        try:
            await self.commits.commit(
                record, time.monotonic(), LEAVE_TIMEOUT_S
            )
        except YuccapointError as error:
            self.logs.say("entry", f"left without a record: {error}")

    def _tick(self) -> None:
        if not self.pump.caught_up or self.stopping:
            return
        now_s = time.monotonic()
        self.act(self.leader.tick(now_s, time.time_ns() // 1_000_000))

    def _greet(self) -> None:
        now_s = time.monotonic()
        hello = self._hello(now_s)
        self.router.entries = max(1, len(self.directory.alive(now_s)))
        for address in self.directory.addresses(now_s):
            if address != self.settings.listen.control_address:
                self.mailbox.send(address, hello)
        self.directory.on_hello(hello, now_s)

    def _hello(self, now_s: float) -> EntryHello:
        return EntryHello(
            entry=self.entry_id,
            data_centre=self.settings.process.data_centre,
            region=self.settings.process.region,
            control_address=self.settings.listen.control_address,
            operator_address=self.settings.listen.operator_address,
            tables_version=self.cell.tables.version,
            log_offset=self.cell.next_offset,
            stopping=self.stopping,
            adopts=self.pump.caught_up and not self.log_fault,
            known_addresses=[
                hello.control_address for hello in self.directory.alive(now_s)
            ],
            demand=self.customer_limits.demand(now_s),
        )

    def _on_message(self, message: ControlMessage) -> None:
        now_s = time.monotonic()
        if isinstance(message, EntryHello):
            self.directory.on_hello(message, now_s)
            self.customer_limits.on_demand(
                message.entry, message.demand, now_s
            )
            return
        if isinstance(message, AgentReport):
            self._on_report(message, now_s)

    def _on_report(self, report: AgentReport, now_s: float) -> None:
        self.router.on_report(report, now_s)
        self.agent_versions[report.vm] = report.tables_version
        self.mailbox.send(report.control_address, self._hello(now_s))
        if self.pump.caught_up and not self.stopping:
            self.act(self.leader.on_report(report, now_s))
        tables = self.cell.tables
        if report.tables_version < tables.version:
            update = TablesUpdate(
                version=tables.version,
                routes=[
                    route
                    for route in tables.current.routes.values()
                    if route.pool == report.pool
                ],
                pools=[
                    pool
                    for pool in tables.current.pools.values()
                    if pool.name == report.pool
                ],
            )
            self.mailbox.send(report.control_address, update)

    def _on_applied(self, applied: list[Applied]) -> None:
        now_s = time.monotonic()
        for outcome in applied:
            self._note_renewal(outcome)
            if self.pump.caught_up:
                actions = self.leader.on_record(
                    outcome.record, outcome.refusal, now_s
                )
                self.act(actions)
        self.commits.on_applied(applied)

    def _note_renewal(self, outcome: Applied) -> None:
        if outcome.writer != self.entry_id or outcome.refusal:
            return
        if isinstance(outcome.record, EntryRenewed):
            self.leader.on_renewal_acked(
                self.writer.sent_at_of(outcome.sequence)
            )

    def _on_outage(self, text: str) -> None:
        if not text:
            self.agent_keys.log_answered_at_s = time.monotonic()
        if bool(text) == bool(self.log_fault):
            return
        self.log_fault = text
        self.metrics.set("log_down", float(bool(text)))
        self.logs.say("log", text or "the log answers again")


def _listen(server: HTTPServer, address: str) -> None:
    host, _, port = address.rpartition(":")
    server.listen(int(port), host)
