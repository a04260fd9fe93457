"""A log, entries and agents in virtual time that use the real tables."""

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
LOG_APPEND_S = 0.005
LOG_POLL_S = 0.010
APPEND_INTERVAL_S = 0.005
LOG_RETRY_S = 0.2
LOST_RESPONSE_SHARE = 0.05
LOG_PAGE_RECORDS = 500
HEARTBEAT_INTERVAL_S = 1.0
REPORT_INTERVAL_S = 1.0


class VirtualLog:
    """An append-only log that can be taken down."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.down = False
        self.appends = 0


class VirtualMember:
    """Base of entries and agents: a region and a history of versions.

    Attributes
    ----------
    reverts : int
        How often the version in force went back to an older one.
    history : list
        Time in seconds and version, for each version that came into force.
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
        self.crashed_s = float("inf")
        self.reverts = 0
        self.history: list[tuple[float, int]] = [(self.started_s, 0)]
        self.directory = EntryDirectory([])

    @property
    def now_s(self) -> float:
        """Current virtual time."""
        return self.net.time.now_s

    def record_version(self, version: int) -> None:
        """Record the version in force and count a step back as a revert."""
        newest = self.history[-1][1]
        self.reverts += version < newest
        if version != newest:
            self.history.append((self.now_s, version))

    def call_every(self, period_s: float, call: Callable[[], None]) -> None:
        """Call periodically while alive, from a random offset on."""

        def repeat() -> None:
            if not self.alive:
                return
            call()
            self.net.time.schedule(period_s, repeat)

        self.net.time.schedule(self.rng.uniform(0, period_s), repeat)

    def crash(self) -> None:
        """Stop at once, without a planned shutdown."""
        self.alive = False
        self.crashed_s = self.now_s


class VirtualEntry(VirtualMember):
    """An entry that reads and appends to the log and distributes tables."""

    def __init__(
        self,
        name: str,
        region: int,
        net: VirtualNetwork,
        rng: random.Random,
        log: VirtualLog,
        entries: list[VirtualEntry],
        on_applied: Callable[[VirtualEntry, list[AppliedRecord]], None],
    ) -> None:
        super().__init__(name, region, net, rng)
        self.entry_id = f"{name}@{int(self.now_s * 1000) + 1}"
        self.cell = CellState()
        self.writer = LogWriter(self.entry_id)
        self.feed = TableFeed(self.cell.tables)
        self.relay = TableRelay(self.entry_id)
        self.fed_bytes = 0
        self.full_update_bytes = 0
        self._full_sizes_tables = self.cell.tables.current
        self._full_sizes: dict[str, int] = {}
        self._log = log
        self._entries = entries
        self._on_applied = on_applied
        self._appending = False
        self.call_every(APPEND_INTERVAL_S, self._append)
        self.call_every(HEARTBEAT_INTERVAL_S, self._send_heartbeats)
        self._read_log()

    def _log_reachable(self) -> bool:
        return not self._log.down and self.net.is_reachable(
            self.region, LOG_REGION
        )

    def _read_log(self) -> None:
        if not self.alive:
            return
        delay_s = self.net.delay_s(self.region, LOG_REGION)
        if not self._log_reachable():
            self.net.time.schedule(LOG_RETRY_S, self._read_log)
            return
        start = self.cell.next_offset
        page = self._log.records[start : start + LOG_PAGE_RECORDS]
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
        self.record_version(self.cell.tables.current.version)
        self.net.time.schedule(0.0 if page else LOG_POLL_S, self._read_log)

    def _append(self) -> None:
        if self._appending:
            return
        data = self.writer.next_append(self.now_s)
        if data is None:
            return
        self._appending = True
        delay_s = self.net.delay_s(self.region, LOG_REGION) + LOG_APPEND_S
        self.net.time.schedule(
            delay_s, functools.partial(self._append_to_log, data, delay_s)
        )

    def _append_to_log(self, data: bytes, delay_s: float) -> None:
        acknowledged = self._log_reachable()
        if acknowledged:
            self._log.records.append(data)
            self._log.appends += 1
            acknowledged = self.rng.random() >= LOST_RESPONSE_SHARE
        sequence = self.writer.sequence
        self.net.time.schedule(
            delay_s if acknowledged else LOG_RETRY_S,
            functools.partial(
                self._on_append_response, sequence, acknowledged
            ),
        )

    def _on_append_response(self, sequence: int, acknowledged: bool) -> None:
        self._appending = False
        if acknowledged:
            self.writer.on_appended(sequence)

    def heartbeat(self) -> EntryHeartbeat:
        """Return a heartbeat with the version and log offset of this entry."""
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

    def _send_heartbeats(self) -> None:
        heartbeat = self.heartbeat()
        self.directory.tick(self.now_s)
        self.directory.on_heartbeat(heartbeat, self.now_s)
        for other in self._entries:
            if other is self or not other.alive:
                continue
            call = functools.partial(other.on_entry_heartbeat, heartbeat, self)
            self.net.send(self.region, other.region, call)

    def on_entry_heartbeat(
        self, heartbeat: EntryHeartbeat, sender: VirtualEntry
    ) -> None:
        """Record an entry's heartbeat; relay the tables to it if it lags."""
        if not self.alive:
            return
        self.directory.on_heartbeat(heartbeat, self.now_s)
        version = self.cell.tables.current.version
        alive = self.directory.live_entries(self.now_s)
        if not self.relay.should_send(heartbeat, version, alive, self.now_s):
            return
        update = self.feed.update_since(ALL_POOLS, 0)
        if update is None:
            return
        call = functools.partial(sender.on_relayed_tables, update)
        self.net.send(self.region, sender.region, call)

    def on_relayed_tables(self, update: TablesUpdate) -> None:
        """Install newer tables that another entry relayed."""
        compiled = CompiledTables(update.version, update.routes, update.pools)
        if self.alive and self.cell.tables.install(compiled):
            self.record_version(update.version)

    def on_report(
        self, agent: VirtualAgent, reported_version: int, leader: str
    ) -> None:
        """Answer an agent's report with a heartbeat and the rows it lacks."""
        if not self.alive:
            return
        heartbeat = functools.partial(
            agent.on_entry_heartbeat, self.heartbeat()
        )
        self.net.send(self.region, agent.region, heartbeat)
        if reported_version < self.cell.tables.current.version:
            self.full_update_bytes += self._full_update_size(agent.pool)
        leads = leader in ("", self.entry_id)
        if not self.feed.should_feed(
            agent.name, reported_version, self.now_s, leads=leads
        ):
            return
        update = self.feed.update_since(agent.pool, reported_version)
        if update is None:
            return
        self.fed_bytes += len(msgspec.msgpack.encode(update))
        call = functools.partial(agent.on_update, update)
        self.net.send(self.region, agent.region, call)

    def _full_update_size(self, pool: str) -> int:
        """Return the size of the baseline's update: all rows of a pool."""
        if self._full_sizes_tables is not self.cell.tables.current:
            self._full_sizes_tables = self.cell.tables.current
            self._full_sizes.clear()
        size = self._full_sizes.get(pool)
        if size is None:
            update = self.feed.update_since(pool, 0)
            size = len(msgspec.msgpack.encode(update))
            self._full_sizes[pool] = size
        return size


class VirtualAgent(VirtualMember):
    """An agent that reports its version and applies table updates."""

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
        self.replica = TableReplica()
        self._leader = ""
        self._entries = entries
        self.call_every(REPORT_INTERVAL_S, self.report)

    def report(self) -> None:
        """Report the replicated version to all live entries."""
        self.directory.tick(self.now_s)
        order = self.directory.rank_leaders(self.name, self.now_s)
        if self._leader not in order:
            self._leader = order[0] if order else ""
        reported_version = self.replica.reported_version
        for entry in self._entries:
            if entry.alive:
                call = functools.partial(
                    entry.on_report, self, reported_version, self._leader
                )
                self.net.send(self.region, entry.region, call)

    def on_entry_heartbeat(self, heartbeat: EntryHeartbeat) -> None:
        """Record an entry's heartbeat."""
        if self.alive:
            self.directory.on_heartbeat(heartbeat, self.now_s)

    def on_update(self, update: TablesUpdate) -> None:
        """Apply an update and report the new version at once."""
        if self.alive and self.replica.apply(update):
            self.record_version(update.version)
            self.report()
