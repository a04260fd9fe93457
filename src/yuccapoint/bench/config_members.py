"""A log, entries and agents in virtual time, with the real tables."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import msgspec

from yuccapoint.connection.entry_directory import EntryDirectory
from yuccapoint.connection.log_writer import LogWriter
from yuccapoint.connection.messages import EntryHeartbeat
from yuccapoint.process.cell_state import CellState
from yuccapoint.version.compiled_tables import CompiledTables
from yuccapoint.version.table_feed import ALL_POOLS
from yuccapoint.version.table_feed import TableFeed
from yuccapoint.version.table_relay import TableRelay
from yuccapoint.version.table_replica import TableReplica

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from yuccapoint.bench.virtual_time import VirtualNetwork
    from yuccapoint.connection.messages import TablesUpdate
    from yuccapoint.process.cell_state import AppliedRecord

LOG_REGION = 0
LOG_S = 0.005
POLL_S = 0.010
APPEND_TICK_S = 0.005
RETRY_S = 0.2
LOST_ANSWERS = 0.05
PAGE_RECORDS = 500
HELLO_S = 1.0
REPORT_S = 1.0


class VirtualLog:
    """The log's stream, with outages."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.down = False
        self.appends = 0


class Member:
    """What entries and agents share: a region, and versions over time.

    Attributes
    ----------
    history : list
        When each version came in force.
    """

    def __init__(
        self, name: str, region: int, net: VirtualNetwork, rng: random.Random
    ) -> None:
        self.name = name
        self.region = region
        self.net = net
        self.rng = rng
        self.alive = True
        self.started_s = net.time.now_s
        self.died_s = float("inf")
        self.reverts = 0
        self.history: list[tuple[float, int]] = [(self.started_s, 0)]
        self.directory = EntryDirectory([])

    @property
    def now_s(self) -> float:
        """Virtual time."""
        return self.net.time.now_s

    def note_version(self, version: int) -> None:
        """Take note of the version in force."""
        newest = self.history[-1][1]
        self.reverts += version < newest
        if version != newest:
            self.history.append((self.now_s, version))

    def every(self, period_s: float, call: Callable[[], None]) -> None:
        """Call again and again while alive."""

        def again() -> None:
            if not self.alive:
                return
            call()
            self.net.time.schedule(period_s, again)

        self.net.time.schedule(self.rng.uniform(0, period_s), again)

    def die(self) -> None:
        """Stop at once."""
        self.alive = False
        self.died_s = self.now_s


class VirtualEntry(Member):
    """An entry's reading, appending, lending and feeding."""

    def __init__(
        self,
        name: str,
        region: int,
        net: VirtualNetwork,
        rng: random.Random,
        log: VirtualLog,
        others: list[VirtualEntry],
        on_applied: Callable[[VirtualEntry, list[AppliedRecord]], None],
    ) -> None:
        super().__init__(name, region, net, rng)
        self.entry_id = f"{name}@{int(self.now_s * 1000) + 1}"
        self.cell = CellState()
        self.writer = LogWriter(self.entry_id)
        self.feed = TableFeed(self.cell.tables)
        self.lender = TableRelay(self.entry_id)
        self.fed_bytes = 0
        self.whole_bytes = 0
        self._whole_of = self.cell.tables.current
        self._whole_sizes: dict[str, int] = {}
        self._log = log
        self._others = others
        self._on_applied = on_applied
        self._append_busy = False
        self.every(APPEND_TICK_S, self._append)
        self.every(HELLO_S, self._greet)
        self._read()

    def _log_answers(self) -> bool:
        return not self._log.down and self.net.is_reachable(
            self.region, LOG_REGION
        )

    def _read(self) -> None:
        if not self.alive:
            return
        delay_s = self.net.delay_s(self.region, LOG_REGION)
        if not self._log_answers():
            self.net.time.schedule(RETRY_S, self._read)
            return
        start = self.cell.next_offset
        page = self._log.records[start : start + PAGE_RECORDS]
        stamp_ms = int(self.now_s * 1000)
        self.net.time.schedule(
            delay_s, functools.partial(self._apply, start, page, stamp_ms)
        )

    def _apply(self, start: int, page: list[bytes], stamp_ms: int) -> None:
        if not self.alive:
            return
        for offset, data in enumerate(page, start=start):
            applied = self.cell.apply(offset, stamp_ms, data)
            if applied and applied[0].writer == self.entry_id:
                self.writer.on_appended(applied[0].sequence)
            self._on_applied(self, applied)
        self.note_version(self.cell.tables.current.version)
        self.net.time.schedule(0.0 if page else POLL_S, self._read)

    def _append(self) -> None:
        if self._append_busy:
            return
        data = self.writer.next_append(self.now_s)
        if data is None:
            return
        self._append_busy = True
        delay_s = self.net.delay_s(self.region, LOG_REGION) + LOG_S
        self.net.time.schedule(
            delay_s, functools.partial(self._reach_log, data, delay_s)
        )

    def _reach_log(self, data: bytes, delay_s: float) -> None:
        answered = self._log_answers()
        if answered:
            self._log.records.append(data)
            self._log.appends += 1
            answered = self.rng.random() >= LOST_ANSWERS
        sequence = self.writer.sequence
        self.net.time.schedule(
            delay_s if answered else RETRY_S,
            functools.partial(self._answer, sequence, answered),
        )

    def _answer(self, sequence: int, answered: bool) -> None:
        self._append_busy = False
        if answered:
            self.writer.on_appended(sequence)

    def hello(self) -> EntryHeartbeat:
        """Say what this entry has."""
        return EntryHeartbeat(
            entry=self.entry_id,
            data_centre="",
            region=str(self.region),
            control_address=self.name,
            operator_address="",
            tables_version=self.cell.tables.current.version,
            log_offset=self.cell.next_offset,
            stopping=False,
            known_addresses=[],
        )

    def _greet(self) -> None:
        hello = self.hello()
        self.directory.tick(self.now_s)
        self.directory.on_heartbeat(hello, self.now_s)
        for other in self._others:
            if other is self or not other.alive:
                continue
            call = functools.partial(other.on_hello, hello, self)
            self.net.send(self.region, other.region, call)

    def on_hello(self, hello: EntryHeartbeat, sender: VirtualEntry) -> None:
        """Take an entry's hello; lend it the tables if it lags."""
        if not self.alive:
            return
        self.directory.on_heartbeat(hello, self.now_s)
        version = self.cell.tables.current.version
        alive = self.directory.live_entries(self.now_s)
        if not self.lender.should_send(hello, version, alive, self.now_s):
            return
        update = self.feed.update_since(ALL_POOLS, 0)
        if update is None:
            return
        call = functools.partial(sender.on_loan, update)
        self.net.send(self.region, sender.region, call)

    def on_loan(self, update: TablesUpdate) -> None:
        """Take another entry's tables."""
        newer = CompiledTables(update.version, update.routes, update.pools)
        if self.alive and self.cell.tables.install(newer):
            self.note_version(update.version)

    def on_report(self, agent: VirtualAgent, held: int, leader: str) -> None:
        """Answer an agent's report with what it lacks."""
        if not self.alive:
            return
        hello = functools.partial(agent.on_hello, self.hello())
        self.net.send(self.region, agent.region, hello)
        if held < self.cell.tables.current.version:
            self.whole_bytes += self._whole_size(agent.pool)
        leads = leader in ("", self.entry_id)
        if not self.feed.should_feed(
            agent.name, held, self.now_s, leads=leads
        ):
            return
        update = self.feed.update_since(agent.pool, held)
        if update is None:
            return
        self.fed_bytes += len(msgspec.msgpack.encode(update))
        call = functools.partial(agent.on_update, update)
        self.net.send(self.region, agent.region, call)

    def _whole_size(self, pool: str) -> int:
        """Give the bytes of the baseline's update, all rows of a pool."""
        if self._whole_of is not self.cell.tables.current:
            self._whole_of = self.cell.tables.current
            self._whole_sizes.clear()
        size = self._whole_sizes.get(pool)
        if size is None:
            update = self.feed.update_since(pool, 0)
            size = len(msgspec.msgpack.encode(update))
            self._whole_sizes[pool] = size
        return size


class VirtualAgent(Member):
    """An agent's tables and reports."""

    def __init__(
        self,
        name: str,
        region: int,
        net: VirtualNetwork,
        rng: random.Random,
        pool: str,
        entries: list[VirtualEntry],
    ) -> None:
        super().__init__(name, region, net, rng)
        self.pool = pool
        self.held = TableReplica()
        self._leader = ""
        self._entries = entries
        self.every(REPORT_S, self.report)

    def report(self) -> None:
        """Report to all entries."""
        self.directory.tick(self.now_s)
        order = self.directory.rank_leaders(self.name, self.now_s)
        if self._leader not in order:
            self._leader = order[0] if order else ""
        held = self.held.reported_version
        for entry in self._entries:
            if entry.alive:
                call = functools.partial(
                    entry.on_report, self, held, self._leader
                )
                self.net.send(self.region, entry.region, call)

    def on_hello(self, hello: EntryHeartbeat) -> None:
        """Take an entry's hello."""
        if self.alive:
            self.directory.on_heartbeat(hello, self.now_s)

    def on_update(self, update: TablesUpdate) -> None:
        """Take an update and say so."""
        if self.alive and self.held.apply(update):
            self.note_version(update.version)
            self.report()
