from __future__ import annotations

import asyncio
import struct
import time
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from platform_path_steps import job_body
from platform_path_steps import JOB_ID
from platform_path_steps import run

from yuccapoint.cell import cell_records
from yuccapoint.cell.cell_view import CellView
from yuccapoint.cell.queue_rules import QueueRules
from yuccapoint.connection.cell_store import StoredRecord
from yuccapoint.connection.http_client import HttpClient
from yuccapoint.connection.newest_page import NewestPage
from yuccapoint.connection.stored_page import StoredPage
from yuccapoint.platform.job_body import decode_job
from yuccapoint.platform.store_partition import StorePartition
from yuccapoint.process.cell_job_gateway import CellJobGateway
from yuccapoint.process.cell_tail import CellTail
from yuccapoint.process.job_lookups import JobLookups
from yuccapoint.process.metrics import Metrics
from yuccapoint.process.process_logger import ProcessLogger
from yuccapoint.version.queue_table import QueueRoute
from yuccapoint_standins.deployment import find_free_address
from yuccapoint_standins.platform_store import PlatformStore

if TYPE_CHECKING:
    from behave.runner import Context

MAX_READ_BYTES = 1_048_576
RECORD_BYTES = 300_000
ROUTE = "q"
DEADLINE_S = 3.0


class NoChannel:
    """Has no peers to send to."""

    address = ""


class PagedStore:
    """Returns a limited amount of records with each read."""

    def __init__(self) -> None:
        self.records: list[StoredRecord] = []
        self.reads = 0

    def put(self, key: str, value: bytes) -> None:
        self.records.append(StoredRecord(len(self.records), key, value))

    async def read_newest(self, _after: str = "") -> NewestPage:
        return NewestPage([], 0, has_more=False)

    async def read(self, from_offset: int, wait_ms: int) -> StoredPage:
        del wait_ms
        self.reads += 1
        found: list[StoredRecord] = []
        size = 0
        for record in self.records[from_offset:]:
            size += len(record.value or b"")
            if found and size > MAX_READ_BYTES:
                break
            found.append(record)
        next_offset = from_offset + len(found)
        return StoredPage(found, next_offset, len(self.records))


def _set_up(context: Context) -> None:
    context.store = PagedStore()
    logger = ProcessLogger("entry")
    view = CellView()
    context.tail = CellTail(
        context.store, view, lambda _: None, lambda: None, logger
    )
    lookups = JobLookups(view, context.tail, NoChannel(), list, logger)
    context.gateway = CellJobGateway(
        view, context.tail, None, None, lookups, logger, Metrics()
    )


@given("a store whose reads return at most 1 MB, and an entry that loads it")
def loading_entry(context: Context) -> None:
    _set_up(context)


@given(
    "a store whose reads return at most 1 MB, and an entry that has read it"
)
def reading_entry(context: Context) -> None:
    _set_up(context)
    run(context, context.tail._read_once())


@when("another entry appends {megabytes:d} MB of records and a job")
def append_backlog(context: Context, megabytes: int) -> None:
    for number in range(megabytes * 1_000_000 // RECORD_BYTES):
        context.store.put(f"p:{number:016x}.0", b"\xc1" * RECORD_BYTES)
    job = decode_job(job_body(1, 1), JOB_ID, QueueRules(ROUTE, "pool"), 1)
    key = cell_records.SUBMISSION + JOB_ID
    context.store.put(key, cell_records.encode(job))
    context.reads_before = context.store.reads


@then("the entry knows the job")
def job_known(context: Context) -> None:
    async def ask() -> str | None:
        deadline_s = time.monotonic() + DEADLINE_S
        route = QueueRoute("", "/", QueueRules(ROUTE, "pool"))
        return await context.gateway.state(route, JOB_ID, deadline_s)

    state = run(context, ask())
    assert state == "pending", state


@then("it has made {count:d} more read")
def reads_made(context: Context, count: int) -> None:
    made = context.store.reads - context.reads_before
    assert made == count, made


@when("a long read is answered after a later one has told of 3 MB of records")
def answer_late(context: Context) -> None:
    store, tail = context.store, context.tail
    released = asyncio.Event()
    read = store.read

    async def read_late(from_offset: int, wait_ms: int) -> StoredPage:
        page = await read(from_offset, wait_ms)
        await released.wait()
        return page

    async def play() -> None:
        store.put("p:1.0", b"\xc1")
        store.read = read_late
        late = asyncio.ensure_future(tail._read_once())
        await asyncio.sleep(0)
        append_backlog(context, 3)
        store.read = read
        # The first page of several.
        await tail._read_log(0)
        released.set()
        await late

    run(context, play())


@then("the entry has not read to the end")
def not_at_end(context: Context) -> None:
    assert not context.tail.at_end


@given("a store whose reads return nothing though there are records")
def empty_pages(context: Context) -> None:
    server = PlatformStore()
    server.put("keyed.cell", "p:1.0", b"\xc1")
    server._serve_read = _serve_nothing
    address = find_free_address()
    server.listen(address)
    context.cleanups.append(server.stop)
    context.reads = 0
    partition = StorePartition(HttpClient(address), "cell", 0)
    read = partition._read

    async def count(*args: int) -> StoredPage:
        context.reads += 1
        return await read(*args)

    partition._read = count
    context.tail = CellTail(
        partition,
        CellView(),
        lambda _: None,
        lambda: None,
        ProcessLogger("entry"),
    )


async def _serve_nothing(_query: dict[str, str]) -> tuple[int, bytes]:
    return 200, struct.pack(">QQ", 9, 0)


@when("an entry follows it for {seconds:d} s")
def follow(context: Context, seconds: int) -> None:
    async def play() -> None:
        task = asyncio.ensure_future(context.tail.run())
        await asyncio.sleep(seconds)
        task.cancel()

    run(context, play())


@then("it has made at most {most:d} reads")
def few_reads(context: Context, most: int) -> None:
    assert 0 < context.reads <= most, context.reads
