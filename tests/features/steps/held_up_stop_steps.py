from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from yuccapoint.cell import cell_records
from yuccapoint.cell.cell_leader import CellLeader
from yuccapoint.connection.cell_store import StoreFencedError
from yuccapoint.platform import roles
from yuccapoint.platform.job_api import JobApi
from yuccapoint.platform.operator_config import decode_config
from yuccapoint.process.cell_entry_process import CellEntryProcess
from yuccapoint.process.cell_writer import CellWriter
from yuccapoint.process.metrics import Metrics
from yuccapoint.process.process_logger import ProcessLogger
from yuccapoint.process.stop_deadlines import ACCEPT_S
from yuccapoint.process.stop_deadlines import StopDeadlines
from yuccapoint_standins.deployment import find_free_address

if TYPE_CHECKING:
    from behave.runner import Context

REQUEST = b"GET /q/ HTTP/1.1\r\nHost: h\r\n\r\n"
CONFIG = (
    b'{"Version": 1, "Routes": [{"Name": "q", "Host": "h",'
    b' "PathPrefix": "/q/", "Service": "s"}]}'
)
JOB = b'{"Spec": "s", "Steps": [{"Count": 1, "Cpu": 1, "MemMb": 1}]}'
HELD_UP_S = 0.5
GRACE_S = 6.0
BEGUN_BYTES = 10
WAITING_CALLERS = 3


class UnconfiguredGateway:
    """Has no routes yet, so that requests are answered with 503."""

    table = None
    ready = False
    stopping = True


class SlowGateway:
    """Has a route, and a store that answers nothing."""

    ready = False
    stopping = True
    retry_after_s = 1

    def __init__(self) -> None:
        self.interrupted = 0
        self.table = decode_config(CONFIG)

    async def submit(self, *arguments: object) -> None:
        """Wait for good."""
        await asyncio.Event().wait()

    cancel = state = submit

    def log_interrupted(self, path: str) -> None:
        """Count the requests that were interrupted."""
        self.interrupted += 1


class FencedStore:
    """A store in which another entry leads."""

    async def append(self, *arguments: object, **fields: object) -> None:
        """Refuse an append of the former term."""
        raise StoreFencedError("another entry leads")


class RecordingStore:
    """Stores what is appended."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []

    async def append(
        self, records: list[tuple[str, bytes]], **fields: object
    ) -> None:
        """Store records."""
        self.records.extend(records)


class QuietEntry:
    """An entry that leads no cell."""

    def __init__(self) -> None:
        self.failed = asyncio.Event()

    async def hand_over(self) -> None:
        """Have nothing to hand over."""


@given("an entry that stops and has an open connection of a caller")
def stopping_entry(context: Context) -> None:
    context.address = find_free_address()
    context.grace_s = GRACE_S


@given("an entry that stops within {seconds:d} s")
@given(
    "an entry that stops within {seconds:d} s and has an open connection of "
    "a caller"
)
def briefly_stopping_entry(context: Context, seconds: int) -> None:
    stopping_entry(context)
    context.grace_s = float(seconds)


async def _stop(
    context: Context,
    gateway: object,
    sent_at_s: float,
    request: bytes,
    begun_at_s: float | None,
) -> None:
    """Stop an entry; a caller sends a request while the loop is held up.

    The request's first bytes may come before, so that the connection is kept.
    """
    job_api = JobApi(gateway)
    job_api.listen(context.address, context.address)
    loop = asyncio.get_running_loop()
    caller = context.caller = await asyncio.to_thread(_connect, context)

    def send() -> None:
        caller.sendall(request)
        time.sleep(context.held_up_s)

    if begun_at_s is not None:
        begun, request = request[:BEGUN_BYTES], request[BEGUN_BYTES:]
        loop.call_later(begun_at_s, caller.sendall, begun)
    if request:
        loop.call_later(sent_at_s, send)
    entry = QuietEntry()
    if context.has_failed:
        loop.call_later(sent_at_s + 0.05, context.stop_requested.set)
        await context.stop_requested.wait()
        entry.failed.set()
    began_s = loop.time()
    await roles._drain(entry, job_api, ProcessLogger("entry"), context.grace_s)
    context.stop_s = loop.time() - began_s


def _run_stop(
    context: Context,
    gateway: object,
    sent_at_s: float = 0.0,
    request: bytes = b"",
    held_up_s: float = 0.0,
    *,
    has_failed: bool = False,
    begun_at_s: float | None = None,
) -> None:
    context.held_up_s = held_up_s
    context.has_failed = has_failed
    context.stop_requested = asyncio.Event()
    context.loop.run_until_complete(
        _stop(context, gateway, sent_at_s, request, begun_at_s)
    )


def _job_request(method: str) -> bytes:
    body = JOB if method == "POST" else b""
    head = (
        f"{method} /q/{'a' * 16} HTTP/1.1\r\nHost: h\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


@when("a request arrives while the entry's event loop is held up")
def hold_up_entry(context: Context) -> None:
    _run_stop(
        context,
        UnconfiguredGateway(),
        ACCEPT_S + 0.1,
        REQUEST,
        HELD_UP_S,
        begun_at_s=ACCEPT_S - 0.1,
    )


@when(
    "a {method:w} arrives while the event loop is held up until all deadlines "
    "have passed"
)
def hold_up_to_the_end(context: Context, method: str) -> None:
    serve_until_s = StopDeadlines(0.0, context.grace_s).serve_until_s
    _run_stop(
        context,
        SlowGateway(),
        serve_until_s - 0.1,
        _job_request(method),
        context.grace_s - serve_until_s + 0.1,
        begun_at_s=serve_until_s - 0.3,
    )


@when("a part of a request arrives and the rest does not")
def send_part_only(context: Context) -> None:
    _run_stop(context, UnconfiguredGateway(), 0.5, REQUEST[:BEGUN_BYTES])


@then("the caller's connection is closed when the entry has drained")
def is_closed(context: Context) -> None:
    assert _is_closed(context.caller)
    assert context.stop_s < context.grace_s, context.stop_s


@when(
    "{count:d} callers send a POST each while each turn of the event loop "
    "takes {turn_s:f} s"
)
def send_as_service_ends(context: Context, count: int, turn_s: float) -> None:
    context.loop.run_until_complete(
        _send_as_service_ends(context, count, turn_s)
    )


async def _send_as_service_ends(
    context: Context, count: int, turn_s: float
) -> None:
    job_api = JobApi(SlowGateway())
    job_api.listen(context.address, context.address)
    callers = [_connect(context) for _ in range(count)]
    context.callers = callers
    request = _job_request("POST")
    for caller in callers:
        caller.sendall(request[:BEGUN_BYTES])
    serve_s = StopDeadlines(0.0, context.grace_s).serve_until_s
    began_s = time.monotonic()

    def send() -> None:
        for number, caller in enumerate(callers):
            at_s = began_s + serve_s - 0.15 + number * 0.3 / count
            time.sleep(max(0.0, at_s - time.monotonic()))
            # The last ones may come after the connection is closed.
            with contextlib.suppress(OSError):
                caller.sendall(request[BEGUN_BYTES:])

    async def hold_up() -> None:
        while True:
            time.sleep(turn_s)
            await asyncio.sleep(0)

    held_up = asyncio.ensure_future(hold_up())
    sending = asyncio.ensure_future(asyncio.to_thread(send))
    await roles._drain(
        QuietEntry(), job_api, ProcessLogger("entry"), context.grace_s
    )
    held_up.cancel()
    await sending


@then("each caller gets an answer")
def all_answered_at_end(context: Context) -> None:
    answers = [_receive(caller)[:12] for caller in context.callers]
    unanswered = [a for a in answers if not a.startswith(b"HTTP/1.1 50")]
    assert not unanswered, f"{len(unanswered)} of {len(answers)}"


@given("a leader that stops while an append is in flight")
def leader_with_append(context: Context) -> None:
    async def start() -> None:
        entry = context.entry = CellEntryProcess(
            "entry", find_free_address(), FencedStore(), logger, Metrics()
        )
        entry.leader = CellLeader("entry", entry.address, 3, 0.0, None)
        entry._writer = CellWriter(entry._store, 3, logger)
        entry._append_task = asyncio.ensure_future(asyncio.Event().wait())

    logger = ProcessLogger("entry")
    context.loop.run_until_complete(start())


@when("another entry leads before the append has ended")
def lose_term(context: Context) -> None:
    async def stop() -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, context.entry._step_down, "another entry leads")
        context.handed_over = await asyncio.gather(
            context.entry.hand_over(), return_exceptions=True
        )

    context.loop.run_until_complete(stop())


@given("an entry that stops while its takeover is on the way")
def takeover_on_the_way(context: Context) -> None:
    async def stop() -> None:
        context.entry = CellEntryProcess(
            "entry",
            find_free_address(),
            context.store,
            ProcessLogger("entry"),
            Metrics(),
        )
        await context.entry.hand_over()

    context.store = RecordingStore()
    context.loop.run_until_complete(stop())


@when("it reads that it leads")
def begin_term(context: Context) -> None:
    async def read() -> None:
        context.entry._start_leading(100.0)
        await asyncio.sleep(0.05)

    context.loop.run_until_complete(read())


@then("it has resigned")
def has_resigned(context: Context) -> None:
    values = [value for _, value in context.store.records]
    terms = [
        cell_records.decode(cell_records.LEADERSHIP, value) for value in values
    ]
    assert [term.resigned for term in terms] == [True], terms
    assert context.entry.leader is None


@then("the hand-over ends without an error")
def hand_over_ends(context: Context) -> None:
    assert context.handed_over == [None], context.handed_over


@when("a caller's {method:w} is in flight until the end of the stop")
def in_flight(context: Context, method: str) -> None:
    gateway = SlowGateway()
    _run_stop(context, gateway, 1.0, _job_request(method))
    assert gateway.interrupted == 1


@when("a component has failed while a caller's POST is in flight")
def fail_in_flight(context: Context) -> None:
    _run_stop(
        context, SlowGateway(), 0.1, _job_request("POST"), has_failed=True
    )


@then("the caller gets a response before the entry exits")
def is_answered(context: Context) -> None:
    answer = _receive(context.caller)
    assert answer.startswith(b"HTTP/1.1 503"), answer


@then("the caller gets status {status:d} before the entry exits")
def gets_status(context: Context, status: int) -> None:
    answer = _receive(context.caller)
    assert answer.startswith(f"HTTP/1.1 {status}".encode()), answer
    assert context.stop_s < context.grace_s + HELD_UP_S, context.stop_s


@then("it has stopped within {seconds:f} s")
def stopped_within(context: Context, seconds: float) -> None:
    assert context.stop_s < seconds, context.stop_s


@when("callers connect and send requests right before it stops listening")
def stop_with_waiting_callers(context: Context) -> None:
    asyncio.run(_stop_with_waiting_callers(context))


async def _stop_with_waiting_callers(context: Context) -> None:
    job_api = JobApi(UnconfiguredGateway())
    job_api.listen(context.address, context.address)
    # The kernel completes these connections while the loop does not run.
    callers = [_connect(context) for _ in range(WAITING_CALLERS)]
    for caller in callers:
        caller.sendall(REQUEST)
    job_api.stop_listening()
    context.answers = await asyncio.gather(
        *(asyncio.to_thread(_receive, caller) for caller in callers)
    )


@then("each waiting caller gets a response")
def waiting_are_answered(context: Context) -> None:
    assert len(context.answers) == WAITING_CALLERS
    for answer in context.answers:
        assert answer.startswith(b"HTTP/1.1 503"), context.answers


@when("it stops with a new connection and one kept after a response")
def stop_with_open_connections(context: Context) -> None:
    asyncio.run(_stop_with_open_connections(context))


async def _stop_with_open_connections(context: Context) -> None:
    gateway = UnconfiguredGateway()
    gateway.stopping = False
    job_api = JobApi(gateway)
    job_api.listen(context.address, context.address)
    new, kept = _connect(context), _connect(context)
    kept.sendall(REQUEST)
    answer = await asyncio.to_thread(_receive, kept)
    assert answer.startswith(b"HTTP/1.1 503"), answer
    gateway.stopping = True
    await roles._drain(QuietEntry(), job_api, ProcessLogger("entry"), GRACE_S)
    context.closed = {"new": _is_closed(new), "kept": _is_closed(kept)}


@then("both connections are closed when it has drained")
def both_closed(context: Context) -> None:
    assert all(context.closed.values()), context.closed


def _connect(context: Context) -> socket.socket:
    host, _, port = context.address.rpartition(":")
    caller = socket.create_connection((host, int(port)))
    caller.settimeout(1.0)
    context.cleanups.append(caller.close)
    return caller


def _receive(caller: socket.socket) -> bytes:
    with contextlib.suppress(OSError):
        return caller.recv(1000)
    return b""


def _is_closed(caller: socket.socket) -> bool:
    caller.setblocking(False)
    try:
        return not caller.recv(1000)
    except BlockingIOError:
        return False


@given("a process that is killed {grace:f} s after its stop began")
def granted_time(context: Context, grace: float) -> None:
    context.deadlines = StopDeadlines(100.0, grace)


@then(
    "it accepts connections for {accept:f} s, serves for {serve:f} s and "
    "closes connections after {close:f} s"
)
def has_deadlines(
    context: Context, accept: float, serve: float, close: float
) -> None:
    deadlines = context.deadlines
    expected = [
        (deadlines.accept_until_s, accept),
        (deadlines.serve_until_s, serve),
        (deadlines.close_at_s, close),
    ]
    for at_s, after_s in expected:
        assert abs(at_s - 100.0 - after_s) < 1e-6, (at_s, after_s)
