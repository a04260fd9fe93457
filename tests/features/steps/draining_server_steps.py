from __future__ import annotations

import asyncio
import socket
import time
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from yuccapoint.connection.draining_http_server import DrainingHttpServer
from yuccapoint.connection.draining_http_server import FIRST_REQUEST_S
from yuccapoint.platform.http_response import send_response

if TYPE_CHECKING:
    from behave.runner import Context
    from tornado.httputil import HTTPServerRequest

HOST = "127.0.0.1"
LARGE_BYTES = 4_000_000
TIMEOUT_S = 5.0
BODY = b"0123456789"
HEADER = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n"
BODYLESS = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
LARGE_REQUEST = b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n"
STATUS_LINE = b"HTTP/1.1 200 OK"
# What is sent first, and the rest of the request.
PARTS = {
    "a whole request": (HEADER + BODY, b""),
    "a part of a header": (HEADER[:20], HEADER[20:] + BODY),
    "a header without a body": (HEADER, BODY),
}
REQUESTS = {
    "a request with a body": (HEADER + BODY, 1),
    "a request without one": (BODYLESS, 1),
    "two requests at a time": (BODYLESS + HEADER + BODY, 2),
}


@given("an HTTP server that answers after {seconds:f} s")
def server(context: Context, seconds: float) -> None:
    async def answer(request: HTTPServerRequest) -> None:
        await asyncio.sleep(seconds)
        size_bytes = LARGE_BYTES if request.path == "/large" else 2
        send_response(request, 200, b"x" * size_bytes)

    def on_request(request: HTTPServerRequest) -> None:
        tasks.append(asyncio.ensure_future(answer(request)))

    async def start() -> None:
        context.server = DrainingHttpServer(on_request)
        sockets = [socket.create_server((HOST, 0))]
        sockets[0].setblocking(False)
        context.address = sockets[0].getsockname()
        context.server.add_sockets(sockets)

    tasks: list[asyncio.Task[None]] = []
    context.clients = []
    context.answers = 1
    context.loop.run_until_complete(start())
    context.cleanups.append(context.server.stop)


def _connect(context: Context) -> socket.socket:
    client = socket.create_connection(context.address)
    client.settimeout(0)
    context.cleanups.append(client.close)
    context.clients.append(client)
    return client


async def _receive(client: socket.socket, answers: int) -> bytes:
    """Return what arrives up to a number of responses, or up to the end."""
    loop = asyncio.get_running_loop()
    received = b""
    async with asyncio.timeout(TIMEOUT_S):
        while received.count(b"xx") < answers:
            chunk = await loop.sock_recv(client, 65_536)
            if not chunk:
                break
            received += chunk
    return received


@given("a connection that was just opened")
def new_connection(context: Context) -> None:
    open_for(context, 0.05)


@given("a connection that was opened {seconds:f} s ago")
def open_for(context: Context, seconds: float) -> None:
    _connect(context)
    context.loop.run_until_complete(asyncio.sleep(seconds))


@given("an open connection")
def open_connection(context: Context) -> None:
    open_for(context, FIRST_REQUEST_S + 0.05)


@given("an open connection that had a request answered")
def used_connection(context: Context) -> None:
    client = _connect(context)
    client.send(BODYLESS)
    received = context.loop.run_until_complete(_receive(client, 1))
    assert received.startswith(STATUS_LINE), received
    context.loop.run_until_complete(asyncio.sleep(0.05))


@given("an open connection of a client that reads nothing for {seconds:f} s")
def slow_reader(context: Context, seconds: float) -> None:
    open_connection(context)
    context.read_after_s = seconds


@given(
    "{count:d} clients that connect and send a request while the event loop "
    "is held up"
)
def waiting_clients(context: Context, count: int) -> None:
    # The event loop doesn't run between the steps.
    for _ in range(count):
        _connect(context).send(HEADER + BODY)


@when("the server stops listening before it has accepted them")
def stop_listening(context: Context) -> None:
    async def stop() -> None:
        context.server.stop()

    context.loop.run_until_complete(stop())


@when("{part} is sent and the event loop is held up for {seconds:f} s")
def send_part(context: Context, part: str, seconds: float) -> None:
    sent, context.rest = PARTS[part]
    context.clients[0].send(sent)
    if part != "a whole request":
        # The server reads the part; it has to wait for the rest.
        context.loop.run_until_complete(asyncio.sleep(0.05))
    time.sleep(seconds)


@when("a request is sent on it")
def send_first(context: Context) -> None:
    context.clients[0].send(BODYLESS)


@when("the rest of the request is sent")
def send_rest(context: Context) -> None:
    context.clients[0].send(context.rest)


@when("the idle connections are closed")
def close_idle(context: Context) -> None:
    async def close() -> int:
        return context.server.close_idle_connections()

    context.left = context.loop.run_until_complete(close())


@when(
    "{what} is sent while idle connections are closed in each turn of the "
    "event loop"
)
def send_while_closing(context: Context, what: str) -> None:
    async def close_until_gone() -> None:
        while context.server.close_idle_connections():
            await asyncio.sleep(0)

    data, context.answers = REQUESTS.get(what, (LARGE_REQUEST, 1))
    context.clients[0].send(data)
    context.closing = context.loop.create_task(close_until_gone())


@then("no connection is left open")
def none_left(context: Context) -> None:
    left(context, 0)
    received = context.loop.run_until_complete(_receive(context.clients[0], 1))
    assert received == b"", received


@then("{count:d} connection is left open")
def left(context: Context, count: int) -> None:
    assert context.left == count, context.left
    assert context.server.open_connections == count


@then("the request is answered")
@then("each client gets an answer")
def answered(context: Context) -> None:
    for client in context.clients:
        received = context.loop.run_until_complete(
            _receive(client, context.answers)
        )
        assert received.count(STATUS_LINE) == context.answers, received
    context.loop.run_until_complete(asyncio.sleep(0.05))


@then("the client gets all of the response")
def all_received(context: Context) -> None:
    async def receive() -> bytes:
        await asyncio.sleep(context.read_after_s)
        return await _receive(context.clients[0], LARGE_BYTES)

    received = context.loop.run_until_complete(receive())
    _, _, body = received.partition(b"\r\n\r\n")
    assert len(body) == LARGE_BYTES, len(body)
    context.loop.run_until_complete(context.closing)


@then("a new connection is refused")
def refused(context: Context) -> None:
    try:
        _connect(context)
    except ConnectionRefusedError:
        return
    raise AssertionError("the server listens")
