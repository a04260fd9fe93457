from __future__ import annotations

import asyncio
import contextlib
import pathlib
import sys
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from yuccapoint_standins.deployment import find_free_address

sys.path.append(str(pathlib.Path(__file__).parents[2]))

from soak.proxied_connection import Way  # noqa: E402
from soak.proxy import Proxy  # noqa: E402

if TYPE_CHECKING:
    from behave.runner import Context

DIALLER = "127.0.0.9"
ANSWER_TIMEOUT_S = 0.3


async def _ask(context: Context, line: bytes, connection=None) -> bytes:
    """Send a line and return the answer; empty if there is none in time."""
    reader, writer = connection or await _connect(context, "127.0.0.1")
    writer.write(line + b"\n")
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            return await reader.readline()
    except TimeoutError:
        return b""


async def _connect(context: Context, ip: str):
    host, _, port = context.proxy.address.rpartition(":")
    connection = await asyncio.open_connection(
        host, int(port), local_addr=(ip, 0)
    )
    context.cleanups.append(connection[1].transport.abort)
    return connection


@given("a proxy before a server that answers each line")
def start_proxy(context: Context) -> None:
    context.received = []
    context.closed = []
    upstream = find_free_address()
    context.proxy = Proxy(find_free_address(), upstream)
    context.cleanups.append(context.proxy.close)

    async def serve(reader, writer) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while line := await reader.readline():
                context.received.append(line.strip())
                writer.write(line)
        context.closed.append(context.received[0])
        writer.close()

    async def start() -> None:
        host, _, port = upstream.rpartition(":")
        server = await asyncio.start_server(serve, host, int(port))
        context.cleanups.append(server.close)
        await context.proxy.start()

    context.loop.run_until_complete(start())


@when("a connection from {ip} is silenced for its {way}")
def silence(context: Context, ip: str, way: str) -> None:
    async def run() -> None:
        context.silenced = await _connect(context, ip)
        assert await _ask(context, b"first", context.silenced)
        ways = tuple(Way(name) for name in way.split(" and "))
        for connection in context.proxy.open_connections:
            if connection.dialler == ip:
                connection.silence(ways)

    context.loop.run_until_complete(run())


@then("a line on it {request} the server and gets no answer")
def check_line(context: Context, request: str) -> None:
    answer = context.loop.run_until_complete(
        _ask(context, b"second", context.silenced)
    )
    assert not answer, answer
    assert (b"second" in context.received) == (request == "gets to")


@then("closing it {close} the server's side")
def check_close(context: Context, close: str) -> None:
    async def run() -> None:
        context.silenced[1].close()
        await asyncio.sleep(ANSWER_TIMEOUT_S)

    context.loop.run_until_complete(run())
    assert bool(context.closed) == (close == "closes"), context.closed


@then("a new connection gets an answer")
def check_new(context: Context) -> None:
    answer = context.loop.run_until_complete(_ask(context, b"third"))
    assert answer == b"third\n", answer
