from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import msgspec
from request_path_steps import _head
from request_path_steps import _open_session
from request_path_steps import start_session
from tornado.tcpserver import TCPServer

from soak.proxy import LinkState
from soak.proxy import Proxy
from yuccapoint.connection.frame_stream import FrameStream
from yuccapoint.connection.frames import SessionHandshake
from yuccapoint.request.exceptions import RequestError
from yuccapoint_standins.deployment import find_free_address

if TYPE_CHECKING:
    from behave.runner import Context


REQUEST_TIMEOUT_S = 15.0


def _run(context: Context, coroutine):
    return context.loop.run_until_complete(coroutine)


@given("an agent session to an agent with a scripted endpoint by a proxy")
def make_session(context: Context) -> None:
    start_session(context)
    context.proxy = Proxy(find_free_address(), context.session_address)
    _run(context, context.proxy.start())
    context.cleanups.append(context.proxy.close)
    context.session_address = context.proxy.address
    _open_session(context, "vm-1")


async def _request(context: Context, path: str) -> str:
    head = msgspec.structs.replace(
        _head(context, path), remaining_s=REQUEST_TIMEOUT_S
    )
    try:
        pending = await context.session.call(head, [])
        response = await pending.head()
    except RequestError as error:
        return error.verdict.value
    return str(response.status)


def _outcome(context: Context, path: str, seconds: float) -> str:
    request = _request(context, path)
    return _run(context, asyncio.wait_for(request, seconds))


@given("a request on the session was answered")
def answered(context: Context) -> None:
    assert _outcome(context, "/whole/10", 2) == "200"
    context.frames = context.session._frames


@when("the open connections of the session fall silent")
def silence(context: Context) -> None:
    assert context.proxy.silence_open()


@then('a request fails as "{verdict}" within {seconds:d} s')
def fails(context: Context, verdict: str, seconds: int) -> None:
    outcome = _outcome(context, "/whole/10", seconds)
    assert outcome == verdict, outcome


@then("the next request is answered within {seconds:d} s")
@then("a request is answered within {seconds:d} s")
def is_answered(context: Context, seconds: int) -> None:
    outcome = _outcome(context, "/whole/10", seconds)
    assert outcome == "200", outcome


@then("a claim fails within {seconds:d} s")
def claim_fails(context: Context, seconds: int) -> None:
    async def claim() -> None:
        try:
            await context.session.claim("scope", "key", "claimant")
        except RequestError:
            return
        raise AssertionError("the claim was answered")

    _run(context, asyncio.wait_for(claim(), seconds))


@when("a request has waited for its endpoint for {seconds:d} s")
@when("a request has been unanswered for {seconds:d} s")
def unanswered(context: Context, seconds: int) -> None:
    async def wait() -> None:
        request = asyncio.ensure_future(_request(context, "/never"))
        await asyncio.wait([request], timeout=seconds)
        assert not request.done(), request

    _run(context, wait())


@when("the agent delays all it receives by {seconds:f} s")
def delay(context: Context, seconds: float) -> None:
    context.proxy.delay_s = seconds
    context.proxy.state = LinkState.DELAY


@then("the session was not replaced")
def not_replaced(context: Context) -> None:
    assert context.session._frames is context.frames
    assert not context.frames.closed


class FormerAgent(TCPServer):
    """An agent that knows neither probes nor their announcement."""

    def __init__(self) -> None:
        super().__init__()
        self.received: list[str] = []

    async def handle_stream(self, stream, address) -> None:
        del address
        frames = FrameStream(stream)
        frames.write(SessionHandshake("vm-1", 1))
        while True:
            self.received += [type(f).__name__ for f in await frames.read()]


@given("an agent of a version without probes")
def former_agent(context: Context) -> None:
    async def start() -> None:
        context.agent = FormerAgent()
        address = find_free_address()
        host, _, port = address.rpartition(":")
        context.agent.listen(int(port), host)
        context.cleanups.append(context.agent.stop)
        context.session_address = address
        _open_session(context, "vm-1")

    _run(context, start())


@then("the agent has received a handshake and a request")
def received(context: Context) -> None:
    expected = ["SessionHandshake", "RequestHead"]
    assert context.agent.received == expected, context.agent.received


@when("the open connections fall silent after the head of a request")
def silent_after_head(context: Context) -> None:
    async def send() -> None:
        await context.session.call(_head(context, "/whole/10", last=False), [])
        await asyncio.sleep(0.1)
        assert context.request_server.in_flight == 1

    _run(context, send())
    silence(context)


@then("the agent has no request in flight after {seconds:d} s")
def none_in_flight(context: Context, seconds: int) -> None:
    _run(context, asyncio.sleep(seconds))
    assert context.request_server.in_flight == 0
