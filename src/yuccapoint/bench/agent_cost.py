"""What control costs an agent: bytes, processor time, memory."""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import Any

import msgspec

from yuccapoint.bench.capacity_parts import sample_report
from yuccapoint.connection.entry_directory import EntryDirectory
from yuccapoint.connection.messages import ControlMessage
from yuccapoint.connection.messages import EntryHeartbeat
from yuccapoint.connection.messages import LeaseGrant
from yuccapoint.connection.messages import TablesUpdate
from yuccapoint.job.lease_rules import REPORT_INTERVAL_S
from yuccapoint.process.entry_process import ADDRESSES_EVERY_REPORTS
from yuccapoint.version.route import Route
from yuccapoint.version.table_replica import TableReplica

TASKS = list(range(8))
ROUNDS = 2_000
ROWS = 1_000
CHANGES_PER_S = 1.0
ADDRESS = "10.100.100.100:7002"
_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(
    ControlMessage
)


def sample_hello(entry: int, addresses: int) -> EntryHeartbeat:
    """Make an entry's hello."""
    return EntryHeartbeat(
        entry=f"entry-{entry}@1764800000000",
        data_centre="kgn-harbour",
        region="kingston",
        control_address=ADDRESS,
        operator_address=ADDRESS,
        tables_version=1_000_000 + entry,
        log_offset=1_000_000,
        stopping=False,
        known_addresses=[ADDRESS] * addresses,
    )


def control_bytes_per_s(entries: int) -> float:
    """Give an agent's control bytes a second, both ways.

    A report to each entry and a hello from each a second, a grant from
    the leader, and a changed row a second.

    Parameters
    ----------
    entries : int
        Entries that the agent reports to.
    """
    report = len(_ENCODER.encode(sample_report(1, 1_000, TASKS)))
    bare = len(_ENCODER.encode(sample_hello(1, 0)))
    full = len(_ENCODER.encode(sample_hello(1, entries)))
    hello = bare + (full - bare) / ADDRESSES_EVERY_REPORTS
    grant = len(_ENCODER.encode(sample_grant()))
    update = len(_ENCODER.encode(sample_update(1)))
    regular = entries * (report + hello) + grant
    return regular / REPORT_INTERVAL_S + update * CHANGES_PER_S


def sample_grant() -> LeaseGrant:
    """Make a grant that renews and starts nothing."""
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
    """Make an update of one changed row."""
    route = Route(name="quotes", prefix="/quotes", service="s", pool="p")
    return TablesUpdate(version=version, routes=[route], pools=[], base=0)


def core_share(entries: int) -> float:
    """Give the share of a core that control takes of an agent.

    Encoding a report for each entry, decoding and noting a hello from
    each, and taking a changed row, each a second; without the sockets.
    """
    report = sample_report(1, 1_000, TASKS)
    directory = EntryDirectory([])
    held = TableReplica()
    hellos = [_ENCODER.encode(sample_hello(e, 0)) for e in range(entries)]
    rounds = max(20, ROUNDS // entries)
    started_s = time.process_time()
    for number in range(rounds):
        for data in hellos:
            _ENCODER.encode(report)
            hello = _DECODER.decode(data)
            directory.on_heartbeat(hello, float(number))
        directory.rank_leaders("vm-1", float(number))
        held.apply(sample_update(number + 1))
    return (time.process_time() - started_s) / rounds / REPORT_INTERVAL_S


def bytes_per_row() -> float:
    """Give the memory of one row that an agent holds."""
    gc.collect()
    tracemalloc.start()
    held = TableReplica()
    rows = [
        Route(name=f"r{n}", prefix=f"/r{n}", service=f"s{n}", pool="p")
        for n in range(ROWS)
    ]
    held.apply(TablesUpdate(version=1, routes=rows, pools=[]))
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size_bytes / ROWS
