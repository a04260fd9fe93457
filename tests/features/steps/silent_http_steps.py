from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from platform_path_steps import run

from yuccapoint.connection.endpoint_client import EndpointClient
from yuccapoint.connection.http_client import HttpClient
from yuccapoint.connection.http_log import HttpLog
from yuccapoint.connection.http_worker import HttpWorker
from yuccapoint.exceptions import YuccapointError
from yuccapoint.platform.adviser_client import AdviserClient
from yuccapoint.platform.store_partition import StorePartition
from yuccapoint.request.exceptions import DeadlinePassedError
from yuccapoint_standins.deployment import find_free_address

if TYPE_CHECKING:
    from behave.runner import Context

TIMEOUT_S = 0.8
POLL_MS = 700


class SilentPeer:
    """Answers calls, until its open connections are silenced."""

    def __init__(self) -> None:
        self.delay_s = 0.02
        self.body = b"ok"
        self.opened = 0
        self.lost_targets: set[str] = set()
        self._silenced: set[int] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    def silence_open(self) -> None:
        self._silenced.update(range(1, self.opened + 1))

    def close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        # One that is closed when it is collected needs the scenario's loop.
        for writer in self._writers:
            writer.close()

    def _accept(self, reader, writer) -> None:
        self._writers.append(writer)
        self._tasks.append(asyncio.ensure_future(self._serve(reader, writer)))

    async def _serve(self, reader, writer) -> None:
        self.opened += 1
        number = self.opened
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                return
            target = head.split(b" ", 2)[1].decode()
            if f"WaitMs={POLL_MS}" in target:
                await asyncio.sleep(POLL_MS / 1000)
            await asyncio.sleep(self.delay_s)
            if number in self._silenced or target in self.lost_targets:
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
            writer.write(self.body)


async def _call(context: Context, target: str = "/") -> None:
    response = await context.client.call("GET", target, timeout_s=TIMEOUT_S)
    assert response.body == b"ok", response.body


async def _call_many(context: Context, count: int) -> None:
    await asyncio.gather(*(_call(context) for _ in range(count)))


@given("a peer with {count:d} kept connections")
@given("a peer with {count:d} kept connection")
def peer(context: Context, count: int) -> None:
    async def start() -> None:
        context.peer = SilentPeer()
        context.client = HttpClient(await context.peer.start())
        context.cleanups.append(context.peer.close)
        context.cleanups.append(context.client.close)
        await _call_many(context, count)

    run(context, start())
    context.kept = context.client.connections_opened
    assert context.kept == count, context.kept


@given("a peer that accepts no connection")
def no_peer(context: Context) -> None:
    context.client = HttpClient(find_free_address())


@given("a long poll of 700 ms in flight")
def long_poll(context: Context) -> None:
    async def begin() -> None:
        context.in_flight = asyncio.ensure_future(
            StorePartition(context.client, "cell", 0).read(0, POLL_MS)
        )
        await asyncio.sleep(0.1)

    run(context, begin())


@given("a call that is answered 100 ms later")
def answered_call(context: Context) -> None:
    run(context, _call(context))


@when("the open connections fall silent")
def silence(context: Context) -> None:
    context.peer.silence_open()


async def _verdict(call) -> str:
    try:
        await call
    except YuccapointError as error:
        return error.verdict.value
    return "answered"


@when('a call fails as "{verdict}"')
@then('a call fails as "{verdict}"')
def fails(context: Context, verdict: str) -> None:
    outcome = run(context, _verdict(_call(context)))
    assert outcome == verdict, outcome


@when("the long poll fails")
def poll_fails(context: Context) -> None:
    outcome = run(context, _verdict(context.in_flight))
    assert outcome != "answered", outcome


async def _begin(context: Context, milliseconds: int) -> None:
    context.in_flight = asyncio.ensure_future(_verdict(_call(context)))
    await asyncio.sleep(milliseconds / 1000)
    assert not context.in_flight.done()


@when("a call has been in flight for {milliseconds:d} ms")
def in_flight(context: Context, milliseconds: int) -> None:
    run(context, _begin(context, milliseconds))


@when("a call is cancelled after {milliseconds:d} ms")
def cancel(context: Context, milliseconds: int) -> None:
    async def abandon() -> None:
        await _begin(context, milliseconds)
        context.in_flight.cancel()
        await asyncio.wait([context.in_flight])

    run(context, abandon())


@then("the next call is answered within {milliseconds:d} ms")
def next_answered(context: Context, milliseconds: int) -> None:
    began_s = time.monotonic()
    outcome = run(context, _verdict(_call(context)))
    took_ms = 1000 * (time.monotonic() - began_s)
    assert outcome == "answered", outcome
    assert took_ms <= milliseconds, took_ms


@when("the peer takes {milliseconds:d} ms for a response")
def slow_peer(context: Context, milliseconds: int) -> None:
    context.peer.delay_s = milliseconds / 1000


@when("{count:d} calls are made, {together:d} at a time")
def make_calls(context: Context, count: int, together: int) -> None:
    async def play() -> None:
        for _ in range(count // together):
            await _call_many(context, together)

    run(context, play())


@when(
    "a call gets no response, and {together:d} at a time are answered"
    " meanwhile"
)
def lost_response(context: Context, together: int) -> None:
    context.peer.lost_targets.add("/lost")

    async def play() -> None:
        lost = asyncio.ensure_future(_verdict(_call(context, "/lost")))
        await asyncio.sleep(0.05)
        while not lost.done():
            await _call_many(context, together)
        assert await lost == "may-have-run"

    run(context, play())


@then("all were answered on the kept connections")
def kept(context: Context) -> None:
    opened = context.client.connections_opened
    assert opened == context.kept, opened


@then("{count:d} calls are answered on the kept connections")
def answered_on_kept(context: Context, count: int) -> None:
    run(context, _call_many(context, count))
    kept(context)


async def _request(context: Context, timeout_s: float) -> None:
    await context.client.call(
        context.address,
        "GET",
        "/",
        [],
        b"",
        time.monotonic() + timeout_s,
        lambda head: None,
        lambda chunk: None,
    )


@given("an endpoint with {count:d} kept connections")
def endpoint(context: Context, count: int) -> None:
    async def start() -> None:
        context.peer = SilentPeer()
        context.address = await context.peer.start()
        context.client = EndpointClient()
        context.cleanups.append(context.peer.close)
        context.cleanups.append(context.client.close)
        requests = (_request(context, TIMEOUT_S) for _ in range(count))
        await asyncio.gather(*requests)

    run(context, start())
    assert context.peer.opened == count, context.peer.opened


@when("a request to the endpoint fails with a deadline of {milliseconds:d} ms")
def request_fails(context: Context, milliseconds: int) -> None:
    try:
        run(context, _request(context, milliseconds / 1000))
    except DeadlinePassedError as error:
        assert error.verdict.value == "may-have-run", error.verdict
        return
    raise AssertionError("the request was answered")


@then("the next request is answered within {milliseconds:d} ms")
def request_answered(context: Context, milliseconds: int) -> None:
    run(context, _request(context, milliseconds / 1000))


def _service_call(service: str, address: str):
    if service == "log":
        log = HttpLog(address, "stream", 0.5)
        return lambda: log.append(b"record")
    if service == "worker":
        worker = HttpWorker(address, 0.5)
        return lambda: worker.stop("job", 1)
    adviser = AdviserClient(address)
    return lambda: adviser.ask("step", ["worker"])


@given("a client of the {service} with a call in flight")
def client_in_flight(context: Context, service: str) -> None:
    async def start() -> None:
        context.peer = SilentPeer()
        context.cleanups.append(context.peer.close)
        context.peer.body = b"17" if service == "log" else b"{}"
        address = await context.peer.start()
        context.service_call = _service_call(service, address)
        await context.service_call()
        context.peer.delay_s = 0.1
        context.in_flight = asyncio.ensure_future(context.service_call())
        await asyncio.sleep(0.05)

    run(context, start())


@then("its call fails as {error} within {milliseconds:d} ms")
def call_fails(context: Context, error: str, milliseconds: int) -> None:
    async def wait() -> str:
        await asyncio.wait([context.in_flight], timeout=milliseconds / 1000)
        assert context.in_flight.done()
        return type(context.in_flight.exception()).__name__

    name = run(context, wait())
    assert name == error, name


@then("its next call succeeds within {milliseconds:d} ms")
def next_succeeds(context: Context, milliseconds: int) -> None:
    call = asyncio.wait_for(context.service_call(), milliseconds / 1000)
    run(context, call)
