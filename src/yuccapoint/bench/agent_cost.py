"""Cost of control traffic to an agent: bytes, processor time, memory."""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import Any

import msgspec

from yuccapoint.bench.loaded_entry import sample_report
from yuccapoint.connection.entry_directory import EntryDirectory
from yuccapoint.connection.messages import ControlMessage
from yuccapoint.connection.messages import EntryHeartbeat
from yuccapoint.connection.messages import LeaseGrant
from yuccapoint.connection.messages import TablesUpdate
from yuccapoint.job.lease_rules import REPORT_INTERVAL_S
from yuccapoint.process.entry_process import ADDRESSES_EVERY_REPORTS
from yuccapoint.version.route import Route
from yuccapoint.version.table_replica import TableReplica

TASK_INDEXES = list(range(8))
SAMPLED_HEARTBEATS = 2_000
REPLICA_ROWS = 1_000
ROW_CHANGES_PER_S = 1.0
SAMPLE_ADDRESS = "10.100.100.100:7002"
_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(
    ControlMessage
)


def sample_heartbeat(entry: int, addresses: int) -> EntryHeartbeat:
    """Return a heartbeat of an entry that lists some known addresses."""
    return EntryHeartbeat(
        entry=f"entry-{entry}@1764800000000",
        data_centre="kgn-harbour",
        region="kingston",
        control_address=SAMPLE_ADDRESS,
        operator_address=SAMPLE_ADDRESS,
        tables_version=1_000_000 + entry,
        log_offset=1_000_000,
        stopping=False,
        known_addresses=[SAMPLE_ADDRESS] * addresses,
    )


def control_bytes_per_s(entries: int) -> float:
    """Return an agent's control bytes per second, in both directions.

    The agent sends a report to each entry and receives a heartbeat from
    each per report interval. The leader sends a grant as often, and one
    table row changes per second.

    Parameters
    ----------
    entries : int
        Entries that the agent reports to.
    """
    report = len(_ENCODER.encode(sample_report(1, 1_000, TASK_INDEXES)))
    base_bytes = len(_ENCODER.encode(sample_heartbeat(1, 0)))
    full_bytes = len(_ENCODER.encode(sample_heartbeat(1, entries)))
    heartbeat = (
        base_bytes + (full_bytes - base_bytes) / ADDRESSES_EVERY_REPORTS
    )
    grant = len(_ENCODER.encode(sample_grant()))
    update = len(_ENCODER.encode(sample_update(1)))
    periodic_bytes = entries * (report + heartbeat) + grant
    return periodic_bytes / REPORT_INTERVAL_S + update * ROW_CHANGES_PER_S


def sample_grant() -> LeaseGrant:
    """Return a grant that renews the lease and starts no task."""
    return LeaseGrant(
        entry="entry-1@1764800000000",
        vm="vm-1",
        term=1_764_800_000_000 * 1_024,
        reply_to=1_000_000,
        ttl_s=5.0,
        starts=[],
        stops=[],
        acknowledged=[],
    )


def sample_update(version: int) -> TablesUpdate:
    """Return a tables update with one changed row."""
    route = Route(name="quotes", prefix="/quotes", service="s", pool="p")
    return TablesUpdate(version=version, routes=[route], pools=[], base=0)


def control_core_share(entries: int) -> float:
    """Measure the share of a core that an agent spends on control.

    Each round encodes a report for each entry, decodes and records a
    heartbeat from each, and applies a changed row. Socket work is left
    out.
    """
    report = sample_report(1, 1_000, TASK_INDEXES)
    directory = EntryDirectory([])
    replica = TableReplica()
    heartbeats = [
        _ENCODER.encode(sample_heartbeat(index, 0)) for index in range(entries)
    ]
    rounds = max(20, SAMPLED_HEARTBEATS // entries)
    started_s = time.process_time()
    for number in range(rounds):
        for data in heartbeats:
            _ENCODER.encode(report)
            heartbeat = _DECODER.decode(data)
            directory.on_heartbeat(heartbeat, float(number))
        directory.rank_leaders("vm-1", float(number))
        replica.apply(sample_update(number + 1))
    return (time.process_time() - started_s) / rounds / REPORT_INTERVAL_S


def replica_bytes_per_row() -> float:
    """Measure the memory that one row takes in an agent's replica."""
    gc.collect()
    tracemalloc.start()
    replica = TableReplica()
    rows = [
        Route(
            name=f"r{index}",
            prefix=f"/r{index}",
            service=f"s{index}",
            pool="p",
        )
        for index in range(REPLICA_ROWS)
    ]
    replica.apply(TablesUpdate(version=1, routes=rows, pools=[]))
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size_bytes / REPLICA_ROWS
