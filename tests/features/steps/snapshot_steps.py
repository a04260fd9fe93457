from __future__ import annotations

import asyncio
import itertools
import random
import time
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import msgspec

from yuccapoint.connection.log_port import LogPage
from yuccapoint.connection.log_port import LogRecordsExpiredError
from yuccapoint.connection.log_writer import LogWriter
from yuccapoint.job.job import Job
from yuccapoint.job.records import AppendBatch
from yuccapoint.job.records import EntryRenewed
from yuccapoint.job.records import JobCancelled
from yuccapoint.job.records import JobClaimed
from yuccapoint.job.records import JobFinished
from yuccapoint.job.records import JobReleased
from yuccapoint.job.records import JobSubmitted
from yuccapoint.job.records import KeyClaimed
from yuccapoint.job.records import PoolEdited
from yuccapoint.job.records import RouteEdited
from yuccapoint.job.records import SnapshotChunk
from yuccapoint.job.records import VmAdopted
from yuccapoint.job.records import VmLost
from yuccapoint.job.size import Size
from yuccapoint.process.cell_state import CellState
from yuccapoint.process.log_pump import LogPump
from yuccapoint.process.snapshot_chunks import pack_chunks
from yuccapoint.process.snapshot_schedule import SnapshotSchedule
from yuccapoint.version.pool import Pool
from yuccapoint.version.route import Route
from yuccapoint_standins.deployment import Deployment
from yuccapoint_standins.deployment import find_free_address
from yuccapoint_standins.deployment import SPECS_BY_NAME
from yuccapoint_standins.log_store import LogStore

if TYPE_CHECKING:
    from behave.runner import Context

    from yuccapoint.job.records import Record

SEED = 11
STARTS = {"team": "t", "customer": "c", "job_class": "k", "pool": "p"}


class StoreLog:
    """A log port on the stand-in's store, without a network."""

    def __init__(self, store: LogStore) -> None:
        self.store = store

    async def append(self, data: bytes) -> int:
        return self.store.append(data, 0)

    async def read(self, from_offset: int) -> LogPage:
        await asyncio.sleep(0)
        records = self.store.read(from_offset)
        if records is None:
            raise LogRecordsExpiredError(self.store.earliest_offset)
        return LogPage(records, from_offset + len(records))


class Reader:
    """A reading log pump, with the outages that it reported."""

    def __init__(self, store: LogStore) -> None:
        self.cell = CellState()
        self.reported: list[str] = []
        self.pump = LogPump(
            StoreLog(store),
            LogWriter("reader"),
            self.cell,
            lambda applied: None,
            self.reported.append,
            random.Random(SEED),
        )

    async def read(self, store: LogStore) -> None:
        """Read up to the end of the log."""
        self.pump.start()
        for _ in range(2_000):
            await asyncio.sleep(0)
            if self.cell.next_offset == store.next_offset:
                break
        self.pump.stop()


class Writers:
    """Appends random records, some of which the state refuses."""

    def __init__(self, store: LogStore) -> None:
        self.store = store
        self.rng = random.Random(SEED)
        self.full = CellState()
        self.sequence = 0
        self.number = 0

    def append(self, records: list[Record], writer: str = "w") -> bytes:
        self.sequence += 1
        batch = AppendBatch(writer, self.sequence, records)
        data = msgspec.msgpack.encode(batch)
        stamp_ms = 1_000 * self.store.next_offset
        offset = self.store.append(data, stamp_ms)
        self.full.apply(offset, stamp_ms, data)
        return data

    def append_random(self, count: int) -> None:
        for _ in range(count):
            self.number += 1
            self.append([self._random() for _ in range(3)])

    def chunks(self) -> list[SnapshotChunk]:
        name = f"w#{self.full.next_offset}"
        return pack_chunks(name, self.full.next_offset, self.full.slices())

    def _random(self) -> Record:
        rng = self.rng
        board = self.full.board
        job_id = rng.choice(list(board.jobs) or ["none"])
        known = board.jobs.get(job_id)
        attempt = known.attempt if known else 0
        vm = f"vm-{rng.randrange(3)}"
        led = board.vms.get(vm)
        term = led.term if led else 0
        size = Size(rng.randrange(1, 500), 1 << 20, 0)
        name = f"job-{self.number}-{rng.randrange(9)}"
        kinds = [
            EntryRenewed("e"),
            VmAdopted(vm, term + 1, "e", "p"),
            VmLost(vm, term if rng.random() < 0.2 else 0, "e", "silent"),
            JobSubmitted(Job(job_id=name, size=size, run_time_s=1, **STARTS)),
            JobClaimed(job_id, attempt + 1, vm, term, "e", "fits"),
            JobClaimed(job_id, attempt + 1, vm, term, "e", "fits"),
            JobReleased(job_id, attempt, term, "moved", "at-5", failed=False),
            JobFinished(job_id, attempt, term),
            JobCancelled(job_id),
            KeyClaimed("c", "r", str(rng.randrange(99)), "q"),
            self._pool_edit(),
            self._route_edit(),
        ]
        return rng.choice(kinds)

    def _pool_edit(self) -> PoolEdited:
        row = self.full.tables.pools.get("p")
        pool = Pool(name="p", team_quota_millicores={"t": 9_000})
        edit_id = f"p{self.rng.random()}"
        return PoolEdited("p", row.version if row else 0, edit_id, "o", pool)

    def _route_edit(self) -> RouteEdited:
        name = f"r{self.rng.randrange(4)}"
        row = self.full.tables.routes.get(name)
        version = row.version if row else 0
        route = Route(name=name, prefix=f"/{name}", service="s", pool="p")
        edit_id = f"r{self.rng.random()}"
        return RouteEdited(name, version, edit_id, "o", route)


# Caches, which a restored state recomputes on demand.
CACHES = frozenset({"changes", "touched", "_ranked"})


def _flat(value: object) -> object:
    """Convert a state to plain values, preserving order and type."""
    if isinstance(value, dict):
        return ["dict", [[key, _flat(item)] for key, item in value.items()]]
    if isinstance(value, set):
        return ["set", sorted(value)]
    if isinstance(value, list | tuple) or type(value).__name__ == "deque":
        return [type(value).__name__, [_flat(item) for item in value]]
    if callable(value) or isinstance(value, msgspec.Struct):
        return value if isinstance(value, msgspec.Struct) else ""
    names = list(getattr(value, "__dict__", ()))
    names += list(getattr(type(value), "__slots__", ()))
    if not names or type(value).__module__ == "enum":
        return value
    fields = [
        [name, _flat(getattr(value, name))]
        for name in sorted(names)
        if name not in CACHES
    ]
    return [type(value).__name__, fields]


def _assert_same(one: CellState, other: CellState) -> None:
    for cell in (one, other):
        cell.skipped_batches = 0
        cell.bad_batches = 0
    assert _flat(one) == _flat(other)


@given("a snapshot log that keeps {count:d} appends")
def given_log(context: Context, count: int) -> None:
    context.store = LogStore(count)
    context.writers = Writers(context.store)


@given("a snapshot reader that read {count:d} random appends and then paused")
def given_paused(context: Context, count: int) -> None:
    context.writers.append_random(count)
    context.reader = Reader(context.store)
    context.loop.run_until_complete(context.reader.read(context.store))
    assert context.reader.cell.next_offset == count


@given("{count:d} more random appends to the snapshot log")
def given_appends(context: Context, count: int) -> None:
    context.writers.append_random(count)


@given("a complete snapshot by a reader of all records")
def given_whole(context: Context) -> None:
    for chunk in context.writers.chunks():
        context.writers.append([chunk])


@given("a snapshot without its last chunk")
def given_torn(context: Context) -> None:
    found = context.writers.chunks()
    chunk = msgspec.structs.replace(found[0], total=found[0].total + 1)
    context.writers.append([chunk])


@given("a snapshot with a damaged chunk")
def given_damaged(context: Context) -> None:
    chunk = context.writers.chunks()[0]
    payload = chunk.payload[:-1] + b"?"
    name = chunk.snapshot_id + "d"
    context.writers.append(
        [msgspec.structs.replace(chunk, snapshot_id=name, payload=payload)]
    )


@given('a snapshot edit "{edit_id}" whose answer was lost')
def given_edit(context: Context, edit_id: str) -> None:
    edit = PoolEdited("once", 0, edit_id, "o", Pool(name="once"))
    context.writers.append([edit])


@when("the paused snapshot reader resumes")
def resume_reader(context: Context) -> None:
    context.loop.run_until_complete(context.reader.read(context.store))


@when("a new snapshot reader starts")
def start_reader(context: Context) -> None:
    context.reader = Reader(context.store)
    context.loop.run_until_complete(context.reader.read(context.store))


@when("a new snapshot reader starts and finds no snapshot")
def start_reader_without_snapshot(context: Context) -> None:
    start_reader(context)


@then("the loss of records was reported to the snapshot reader")
def loss_reported(context: Context) -> None:
    assert any("have expired" in text for text in context.reader.reported)


@then("the snapshot reader's state equals that of a reader of all records")
def same_state(context: Context) -> None:
    cell = context.reader.cell
    full = context.writers.full
    assert len(full.board.jobs) > 10 and full.board.vms, (
        "too few records for a meaningful test"
    )
    assert list(cell.slices()) == list(full.slices())
    _assert_same(cell, full)
    for job_id, entry in cell.board.queued.items():
        assert cell.board.jobs[job_id] is entry


@then("a duplicate append after the snapshot changes nothing")
def append_duplicate(context: Context) -> None:
    cell = context.reader.cell
    before = list(cell.slices())[:-1]
    data = context.store.read(context.store.next_offset - 1)[0].data
    assert cell.apply(cell.next_offset, 1, data) == []
    cell.next_offset -= 1
    assert list(cell.slices())[:-1] == before


@then("the snapshot reader is not ready and its state is empty")
def not_ready(context: Context) -> None:
    reader = context.reader
    assert reader.pump.awaiting_snapshot and not reader.pump.caught_up
    assert not reader.cell.board.jobs and not reader.cell.tables.version
    assert any("searching for a snapshot" in text for text in reader.reported)


@then('the snapshot reader has edit "{edit_id}" as accepted')
def knows_edit(context: Context, edit_id: str) -> None:
    outcome = context.reader.cell.tables.outcomes[edit_id]
    assert outcome.refusal == "" and outcome.version > 0


@when("three entries follow the snapshot schedule for {span_s:d} s")
def run_schedules(context: Context, span_s: int) -> None:
    schedules = [
        SnapshotSchedule(1_000, 60.0, random.Random(SEED + i))
        for i in range(3)
    ]
    context.completed_at_s = []
    context.most_due = 0
    writing: dict[int, tuple[str, float, int]] = {}
    for offset in range(span_s * 20):
        now_s = offset / 20
        context.most_due = max(
            context.most_due, offset - schedules[0].newest_offset
        )
        for index, schedule in enumerate(schedules):
            name, at_s, part = writing.get(index, ("", now_s + 1, 0))
            if schedule.should_begin(offset, now_s):
                writing[index] = (f"{index}#{offset}", now_s + 0.2, 0)
            elif part and schedule.is_writer(name) is False:
                del writing[index]
            elif at_s <= now_s:
                chunk = SnapshotChunk(name, part, 4, offset, b"")
                for reader in schedules:
                    reader.on_chunk(chunk, now_s)
                writing[index] = (name, now_s + 0.2, part + 1)
                if part == 3:
                    context.completed_at_s.append(now_s)
                    del writing[index]


@then("at least {count:d} snapshots were completed and never two at once")
def snapshots_completed(context: Context, count: int) -> None:
    gaps = [b - a for a, b in itertools.pairwise(context.completed_at_s)]
    assert len(context.completed_at_s) >= count, len(context.completed_at_s)
    assert min(gaps) > 45.0, min(gaps)
    assert context.most_due < 1_300, context.most_due


@given(
    "a deployment whose log keeps {kept:d} appends, with snapshots every 15"
)
def given_deployment(context: Context, kept: int) -> None:
    async def start() -> None:
        deployment = Deployment(SPECS_BY_NAME["caribfert"], 1, 2, SEED)
        context.cleanups.append(deployment.close)
        context.deployment = deployment
        await deployment.start()
        deployment.log.store.max_records = kept
        for entry in deployment.entries:
            entry.schedule._every_records = 15

    context.loop.run_until_complete(start())


@when("{count:d} more edits are committed and a new entry starts")
def edit_and_start(context: Context, count: int) -> None:
    deployment = context.deployment

    async def run() -> None:
        first = deployment.entries[0]
        for number in range(count):
            name, row = next(iter(first.cell.tables.routes.items()))
            changed = msgspec.structs.replace(
                row.row, timeout_s=2.0 + number / 100
            )
            edit = RouteEdited(name, row.version, f"e{number}", "o", changed)
            await first.commits.commit(edit, time.monotonic(), 5.0)
            await asyncio.sleep(0.03)
        deployment._control_addresses.append(find_free_address())
        context.late = deployment.add_entry(2)
        for _ in range(200):
            if context.late.pump.caught_up:
                return
            await asyncio.sleep(0.05)

    context.loop.run_until_complete(run())


@then("the new entry has the first entry's tables")
def same_tables(context: Context) -> None:
    entry = context.late
    first = context.deployment.entries[0]
    assert entry.pump.caught_up and entry.ready
    assert context.deployment.log.store.earliest_offset > 0
    assert entry.cell.tables.version == first.cell.tables.version
    assert _flat(entry.cell.tables.routes) == _flat(first.cell.tables.routes)
