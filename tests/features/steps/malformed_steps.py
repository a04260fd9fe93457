from __future__ import annotations

import asyncio
import struct
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import msgspec
from platform_path_steps import run

from yuccapoint.cell.cell_messages import StartOrder
from yuccapoint.cell.occurrence_state import WorkerInstance
from yuccapoint.cell.worker_events import StartCall
from yuccapoint.connection.http_client import HttpClient
from yuccapoint.connection.http_log import HttpLog
from yuccapoint.connection.log_port import LogRecordsExpiredError
from yuccapoint.connection.log_port import LogUnavailableError
from yuccapoint.exceptions import YuccapointError
from yuccapoint.platform.check_in_server import CheckInServer
from yuccapoint.platform.config_feed import ConfigFeed
from yuccapoint.platform.exceptions import MalformedMessageError
from yuccapoint.platform.store_partition import StorePartition
from yuccapoint.platform.worker_client import WorkerClient
from yuccapoint.process.process_logger import ProcessLogger
from yuccapoint_standins.deployment import find_free_address

if TYPE_CHECKING:
    from collections.abc import Callable

    from behave.runner import Context

    from yuccapoint.cell.worker_events import CheckIn


def _serve(context: Context, response: bytes) -> None:
    """Answer each request on a loopback port with the same bytes."""
    context.requests = 0

    async def answer(reader, writer) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            writer.close()
            return
        context.requests += 1
        writer.write(response)
        await writer.drain()
        writer.close()

    async def start() -> None:
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        context.address = f"127.0.0.1:{port}"
        context.cleanups.append(server.close)

    run(context, start())


def _http(body: bytes) -> bytes:
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


@given('a peer that answers "{response}"')
def peer(context: Context, response: str) -> None:
    _serve(context, response.encode().decode("unicode_escape").encode())


@given("a store whose newest records are {records}")
def store_with_records(context: Context, records: str) -> None:
    items = []
    for offset, text in enumerate(records.split(" and ")):
        key, _, value = text.strip('"').partition(":")
        items.append({"Key": key, "Value": value, "Offset": offset})
    page = {"items": items, "HasMore": False, "EndOffset": len(items)}
    _serve(context, _http(msgspec.json.encode(page)))


@given("a store whose read returns a record and the first half of another")
def store_with_half(context: Context) -> None:
    record = struct.pack(">I", 4) + b"\x01kab"
    body = struct.pack(">QQ", 9, 0) + record + record[:6]
    _serve(context, _http(body))


@given("a store whose read returns the first half of a record")
def store_with_only_half(context: Context) -> None:
    record = struct.pack(">I", 4) + b"\x01kab"
    _serve(context, _http(struct.pack(">QQ", 9, 0) + record[:6]))


def _partition(context: Context) -> StorePartition:
    return StorePartition(HttpClient(context.address), "op", 0)


@when("it is called")
def called(context: Context) -> None:
    async def call() -> None:
        client = HttpClient(context.address)
        try:
            await client.call("GET", "/", timeout_s=0.5)
        except YuccapointError as error:
            context.error = error

    run(context, call())


@when("it is ordered to start a run as a worker")
def start_run(context: Context) -> None:
    order = StartOrder("e" * 16 + ".0.0.0", 1, "payload", "")

    async def start() -> None:
        worker = WorkerClient(context.address)
        instance = WorkerInstance("vm-0", "i-0", 1)
        answer = await worker.call(StartCall(order, 1, 1), instance)
        context.result = answer.result

    run(context, start())


@when("it is read as a log service")
def read_log(context: Context) -> None:
    async def read() -> None:
        log = HttpLog(context.address, "stream", 0.5)
        try:
            await log.read(0)
        except (LogUnavailableError, LogRecordsExpiredError) as error:
            context.error = error
        finally:
            log.close()

    run(context, read())


@then("the log is unavailable")
def log_unavailable(context: Context) -> None:
    error = context.error
    assert isinstance(error, LogUnavailableError), repr(error)


@when("its newest records are read")
def read_newest(context: Context) -> None:
    async def read() -> None:
        page = await _partition(context).read_newest()
        context.records = page.records

    run(context, read())


@when("it is read from offset {offset:d}")
def read_from(context: Context, offset: int) -> None:
    async def read() -> None:
        partition = _partition(context)
        try:
            page = await partition.read(offset, 0)
        except MalformedMessageError as error:
            context.error = error
            return
        context.records = page.records
        context.next_offset = page.next_offset

    run(context, read())


@when("the operator's topic is followed for {seconds:d} s")
def follow(context: Context, seconds: int) -> None:
    async def play() -> None:
        feed = ConfigFeed(
            _partition(context), lambda _: None, ProcessLogger("entry")
        )
        context.feed_task = asyncio.ensure_future(feed.run())
        await asyncio.sleep(seconds)

    run(context, play())


@then('the call fails as "{verdict}"')
def fails_as(context: Context, verdict: str) -> None:
    assert context.error.verdict.value == verdict, context.error.verdict


@then('the result of the start is "{result}"')
def result_is(context: Context, result: str) -> None:
    assert context.result.value == result, context.result


@then("the records {records} are returned")
def records_are(context: Context, records: str) -> None:
    expected = [
        tuple(text.strip('"').split(":")) for text in records.split(" and ")
    ]
    seen = [(r.key, (r.value or b"").decode()) for r in context.records]
    assert seen == expected, seen


@then("one record is returned and the next offset is {offset:d}")
def one_record(context: Context, offset: int) -> None:
    assert len(context.records) == 1, context.records
    assert context.next_offset == offset, context.next_offset


@then("the read fails as cut off")
def read_fails(context: Context) -> None:
    assert "cut off" in str(context.error), context.error


@then("the store was read again and the feed is running")
def feed_runs(context: Context) -> None:
    assert not context.feed_task.done(), context.feed_task
    assert context.requests >= 2, context.requests


@given("a check-in server of a VM")
def check_in_server(context: Context) -> None:
    context.check_ins = []
    _start_check_in_server(context, context.check_ins.append)


def _start_check_in_server(
    context: Context, on_check_in: Callable[[CheckIn], None]
) -> None:
    context.rejections = []
    server = CheckInServer(
        "vm-0",
        on_check_in,
        lambda _: None,
        context.rejections.append,
    )
    context.address = find_free_address()

    async def listen() -> None:
        server.listen(context.address)

    run(context, listen())
    context.cleanups.append(server.stop)


def _send_check_in(
    context: Context, changes: dict[str, object], worker_id: str = "i-0"
) -> None:
    body: dict[str, object] = {
        "Service": "pool",
        "Address": "127.0.0.1:1",
        "State": "ready",
        "Seq": 1,
        "ClockMs": 100,
        "Capacity": {"Cpu": 1000, "MemMb": 64, "Gpu": 0},
        "born": 1_796_383_902_006,
    }
    body.update(changes)
    sent = {name: value for name, value in body.items() if value is not None}
    # Written as bytes, as the client refuses some of the ids.
    data = msgspec.json.encode(sent)
    head = (
        f"PUT /yuccapoint/instances/{worker_id} HTTP/1.1\r\n"
        f"Host: agent\r\nContent-Length: {len(data)}\r\n\r\n"
    )

    async def send() -> None:
        host, _, port = context.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head.encode("latin-1") + data)
        async with asyncio.timeout(1.0):
            status_line = await reader.readline()
        writer.close()
        context.status = int(status_line.split()[1])

    run(context, send())


@when('a check-in arrives whose "{field}" is {value}')
def check_in_arrives(context: Context, field: str, value: str) -> None:
    context.field, context.value = field, value
    changed = None if value == "missing" else msgspec.Raw(value.encode())
    _send_check_in(context, {field: changed})


@when("a check-in arrives")
def plain_check_in_arrives(context: Context) -> None:
    _send_check_in(context, {})


ODD_PARTS: dict[str, dict[str, object]] = {
    "a host label of 70 bytes": {"Address": "h" * 70 + ":8080"},
    "a service of 300 bytes": {"Service": "s" * 300},
    "a service with a NUL": {"Service": "pool\0"},
    "a label of 300 bytes": {"Labels": ["x" * 300]},
    "65 labels": {"Labels": [f"x{number}" for number in range(65)]},
}
ODD_IDS = {
    "an id of 300 bytes": "i" * 300,
    "an id with a slash": "i-0/i-1",
    "an id with a wide letter": "i-\u00e9",
}


@when("a check-in arrives with {part}")
def odd_check_in_arrives(context: Context, part: str) -> None:
    _send_check_in(context, ODD_PARTS.get(part, {}), ODD_IDS.get(part, "i-0"))


@given("a check-in server whose agent fails")
def failing_agent(context: Context) -> None:
    def fail(check_in: object) -> None:
        raise KeyError(check_in)

    _start_check_in_server(context, fail)


@when('"{address}" is called')
def call_address(context: Context, address: str) -> None:
    context.address = address.replace("\\0", "\0")
    called(context)


@when("it is called with a header of wide letters")
def call_with_header(context: Context) -> None:
    async def call() -> None:
        client = HttpClient(context.address)
        try:
            await client.call(
                "GET", "/", timeout_s=0.5, headers={"Name": "\u0107"}
            )
        except YuccapointError as error:
            context.error = error

    run(context, call())


@then("it is rejected with status {status:d}")
def check_in_rejected(context: Context, status: int) -> None:
    assert context.status == status, context.status
    assert not context.check_ins, context.check_ins
    assert len(context.rejections) == 1, context.rejections


@then('the reason names "{field}", the value and what was expected')
def reason_names(context: Context, field: str) -> None:
    (reason,) = context.rejections
    value = msgspec.json.decode(context.value)
    assert field in reason, reason
    assert repr(value) in reason, reason
    assert "expected" in reason, reason


@then("it is answered with status {status:d}")
def check_in_answered(context: Context, status: int) -> None:
    assert context.status == status, context.status
    assert len(context.rejections) == 1, context.rejections


@then("it is accepted")
def check_in_accepted(context: Context) -> None:
    assert context.status == 200, context.status
    assert len(context.check_ins) == 1, context.rejections
