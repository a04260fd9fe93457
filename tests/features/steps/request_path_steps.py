from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from tornado.iostream import StreamClosedError
from tornado.tcpserver import TCPServer

from yuccapoint.connection.agent_session import AgentSession
from yuccapoint.connection.endpoint_client import EndpointClient
from yuccapoint.connection.frames import RequestCancel
from yuccapoint.connection.frames import RequestHead
from yuccapoint.process.endpoint_registry import Announcement
from yuccapoint.process.endpoint_registry import EndpointRegistry
from yuccapoint.process.metrics import Metrics
from yuccapoint.process.process_logger import ProcessLogger
from yuccapoint.process.request_server import RequestServer
from yuccapoint.request.admission import SlotRequest
from yuccapoint.request.exceptions import RequestError
from yuccapoint.request.recent_keys import RecentKeys

if TYPE_CHECKING:
    from behave.runner import Context
    from tornado.iostream import IOStream

SLOTS = 2
DEADLINE_S = 0.3
LONG_WAIT_S = 10.0
SETTLE_S = 0.05


class ScriptedEndpoint(TCPServer):
    """Responds as the path of the request specifies."""

    def __init__(self) -> None:
        super().__init__()
        self.connections = 0
        self.runs = 0

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        del address
        self.connections += 1
        try:
            while True:
                head = await stream.read_until(b"\r\n\r\n")
                self.runs += 1
                await self._respond(stream, head.split()[1].decode())
        except StreamClosedError:
            return

    async def _respond(self, stream: IOStream, path: str) -> None:
        _, kind, *rest = path.split("/")
        size = int(rest[0]) if rest else 0
        length = f"Content-Length: {size}\r\n"
        body = bytes(size)
        if kind == "never":
            await asyncio.sleep(LONG_WAIT_S)
        if kind == "silent":
            stream.close()
            return
        if kind == "nolength":
            length = ""
        if kind == "break":
            body = body[: size // 2]
        await stream.write(f"HTTP/1.1 200 OK\r\n{length}\r\n".encode() + body)
        if kind != "whole":
            stream.close()


def minimal_agent(name: str, context: Context) -> SimpleNamespace:
    """Build the parts of an agent that the request path needs."""
    agent = SimpleNamespace(
        name=name,
        incarnation=1,
        stopping=False,
        logger=ProcessLogger(name),
        metrics=Metrics(),
        max_body_bytes=1 << 20,
        endpoints=EndpointRegistry(SLOTS, 8),
        recent_keys=RecentKeys(),
        task_manager=SimpleNamespace(
            lease_until_s=time.monotonic() + LONG_WAIT_S
        ),
        queued_requests={},
        client=EndpointClient(),
    )
    agent.start_queued = lambda endpoint: None
    context.cleanups.append(agent.client.close)
    return agent


def listen(server: TCPServer, context: Context) -> str:
    """Listen on a free loopback port and return the address."""
    server.listen(0, "127.0.0.1")
    context.cleanups.append(server.stop)
    port = next(iter(server._sockets.values())).getsockname()[1]
    return f"127.0.0.1:{port}"


def _head(context: Context, path: str, *, last: bool = True) -> RequestHead:
    return RequestHead(
        context.session.next_request_id(),
        "quotes",
        "quotes-1",
        "quotes",
        "customer",
        "GET",
        path,
        [],
        DEADLINE_S,
        False,
        "",
        b"",
        last,
    )


@given("an agent session to an agent with a scripted endpoint")
def start_session(context: Context) -> None:
    async def start() -> None:
        context.scripted = ScriptedEndpoint()
        context.agent = minimal_agent("vm-1", context)
        server = RequestServer(context.agent)
        context.request_server = server
        context.session_address = listen(server, context)
        context.cleanups.append(server.close_all)
        announcement = Announcement(
            "quotes-1", "quotes", listen(context.scripted, context), 1
        )
        context.agent.endpoints.announce(announcement, time.monotonic())
        _open_session(context, "vm-1")

    context.loop.run_until_complete(start())


def _open_session(context: Context, vm: str) -> None:
    context.session = AgentSession(
        "entry", 1, context.session_address, lambda name, load: None, vm
    )
    context.cleanups.append(context.session.close)


@given("the session expects another VM")
def expect_other(context: Context) -> None:
    _open_session(context, "vm-2")


@given("all slots of the scripted endpoint are in use")
def use_slots(context: Context) -> None:
    admission = context.agent.endpoints.find("quotes-1").admission
    now_s = time.monotonic()
    for number in range(SLOTS):
        admission.admit_or_queue(
            SlotRequest(f"other-{number}", "c", now_s + 9), now_s
        )


@given("the scripted endpoint has left")
def announce_leaving(context: Context) -> None:
    endpoint = context.agent.endpoints.find("quotes-1")
    context.agent.endpoints.announce(
        Announcement("quotes-1", "quotes", "127.0.0.1:1", 1, leaving=True),
        endpoint.announced_at_s,
    )


async def _request(context: Context, path: str) -> None:
    context.error = None
    context.response = None
    context.head = _head(context, path)
    try:
        context.pending = await context.session.call(context.head, [])
        context.response = await context.pending.head()
    except RequestError as error:
        context.error = error


@when('the session requests "{path}"')
def request(context: Context, path: str) -> None:
    context.loop.run_until_complete(_request(context, path))


@when('the session requests "{path}" {count:d} times in sequence')
def request_often(context: Context, path: str, count: int) -> None:
    for _ in range(count):
        request(context, path)
        assert context.response.status == 200


@when('the session requests "{path}" and cancels it')
def request_and_cancel(context: Context, path: str) -> None:
    async def run() -> None:
        context.head = _head(context, path)
        context.pending = await context.session.call(context.head, [])
        await asyncio.sleep(SETTLE_S)
        context.session._frames.write(RequestCancel(context.head.request_id))
        try:
            await context.pending.head()
        except RequestError as error:
            context.error = error

    context.loop.run_until_complete(run())


@when("a late copy of the cancelled request arrives")
def late_copy(context: Context) -> None:
    admission = context.agent.endpoints.find("quotes-1").admission
    for key in list(admission.running):
        admission.finish(key, time.monotonic())

    async def send() -> None:
        context.session._frames.write(context.head)
        await asyncio.sleep(SETTLE_S)

    context.loop.run_until_complete(send())


@when("a cancel arrives before its request")
def early_cancel(context: Context) -> None:
    async def send() -> None:
        frames = await context.session._ensure_connected()
        head = _head(context, "/whole/10")
        frames.write(RequestCancel(head.request_id))
        frames.write(head)
        await asyncio.sleep(SETTLE_S)

    context.loop.run_until_complete(send())


@when("the session is lost between two chunks of a body")
def lose_session(context: Context) -> None:
    async def run() -> None:
        head = _head(context, "/whole/10", last=False)
        context.pending = await context.session.call(head, [])
        await asyncio.sleep(SETTLE_S)
        context.session.close()
        try:
            await context.pending.head()
        except RequestError as error:
            context.error = error
        await asyncio.sleep(SETTLE_S)

    context.loop.run_until_complete(run())


@then('the session\'s request fails with {reason} and "{verdict}"')
def fails_with(context: Context, reason: str, verdict: str) -> None:
    error = context.error
    assert error is not None, context.response
    assert type(error).__name__ == reason, repr(error)
    assert error.verdict.value == verdict, repr(error)


@then("the session's response is aborted after its head")
def is_aborted(context: Context) -> None:
    assert not context.response.last
    error = context.loop.run_until_complete(_read_all(context))
    assert error is not None
    assert error.verdict.value == "ran"


@then("at most {count:d} chunks of the response are buffered at the entry")
def chunks_buffered(context: Context, count: int) -> None:
    context.loop.run_until_complete(asyncio.sleep(SETTLE_S))
    assert context.pending._chunks.qsize() <= count


@then("the session reads {size:d} bytes to the end")
def read_to_end(context: Context, size: int) -> None:
    error = context.loop.run_until_complete(_read_all(context))
    assert error is None, error
    assert context.read_bytes == size, context.read_bytes


async def _read_all(context: Context) -> RequestError | None:
    context.read_bytes = len(context.response.body)
    while True:
        try:
            chunk = await context.pending.chunk()
        except RequestError as error:
            return error
        context.read_bytes += len(chunk.data)
        if chunk.last:
            return None
        context.session.send_credit(context.head.request_id)


@then('the agent rejected the cancelled request with "{verdict}"')
def cancelled_verdict(context: Context, verdict: str) -> None:
    assert context.error.verdict.value == verdict


@then(
    "the scripted endpoint saw {connections:d} connections and {runs:d} runs"
)
def endpoint_counts(context: Context, connections: int, runs: int) -> None:
    counts = (context.scripted.connections, context.scripted.runs)
    assert counts == (connections, runs), counts


@then("the agent counted {count:d} late copies")
def counted_copies(context: Context, count: int) -> None:
    assert context.agent.metrics.total("late_copies") == count
