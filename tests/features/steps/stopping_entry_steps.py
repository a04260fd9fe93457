from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
import socket
import ssl
import struct
import tempfile
import time
from typing import TYPE_CHECKING

from access_steps import _certificate
from behave import given
from behave import then
from behave import when

from yuccapoint.job.records import PoolEdited
from yuccapoint.job.records import RouteEdited
from yuccapoint.process.entry_process import EntryProcess
from yuccapoint.process.settings.loader import parse_settings
from yuccapoint.process.settings.sections import EntrySettings
from yuccapoint.version.pool import Pool
from yuccapoint.version.route import Route
from yuccapoint_standins.deployment import find_free_address
from yuccapoint_standins.log_service import LogService

if TYPE_CHECKING:
    from collections.abc import Callable

    from behave.runner import Context

REQUEST = b"GET /quotes HTTP/1.1\r\nHost: h\r\n\r\n"
START_TIMEOUT_S = 5.0
CANCELLATION = b"DELETE /v1/jobs/j1 HTTP/1.1\r\nHost: h\r\n\r\n"
WATCH = b"GET /v1/watch HTTP/1.1\r\nHost: h\r\n\r\n"
# Shortly before an entry without requests leaves.
CANCELLED_AFTER_S = 1.5
ANSWER_TIMEOUT_S = 2.0
HELD_UP_S = 0.3


class Caller:
    """A caller's connection that the entry's event loop doesn't serve."""

    def __init__(self, address: str, *, secure: bool) -> None:
        host, _, port = address.rpartition(":")
        self._secure = secure
        self._host = host
        self._stream = socket.create_connection((host, int(port)), 2.0)

    def secure(self) -> None:
        """Complete the TLS handshake, if the entry serves by TLS."""
        if not self._secure:
            return
        tls = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        tls.check_hostname = False
        tls.verify_mode = ssl.CERT_NONE
        self._stream = tls.wrap_socket(self._stream)

    def send(self, request: bytes = REQUEST) -> None:
        """Send a whole request; it fails on a closed connection."""
        self._stream.sendall(request)

    def receive(self) -> bytes:
        """Return what the entry answers; empty if the connection ended."""
        self._stream.settimeout(ANSWER_TIMEOUT_S)
        return self._stream.recv(65_536)

    def ask(self) -> bytes:
        """Send a request and return the answer."""
        self.secure()
        self.send()
        return self.receive()

    def reset(self) -> None:
        """Close the connection by a reset."""
        linger = struct.pack("ii", 1, 0)
        self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self._stream.close()

    @property
    def ended(self) -> bool:
        """Whether the entry has closed the connection."""
        self._stream.settimeout(0.1)
        try:
            return not self._stream.recv(65_536)
        except TimeoutError:
            return False
        except OSError:
            return True

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()


def _access(context: Context) -> str:
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    path = pathlib.Path(folder.name)
    certificate, key = _certificate("entry")
    (path / "cert.pem").write_bytes(certificate)
    (path / "key.pem").write_bytes(key)
    return f"""
[access]
tls_certificate_file = {path / "cert.pem"}
tls_key_file = {path / "key.pem"}
"""


@given("an entry that serves callers by {protocol}")
def start_entry(context: Context, protocol: str) -> None:
    context.secure = protocol == "HTTPS"
    log_address = find_free_address()
    control_address = find_free_address()
    text = f"""
[process]
name = entry-1
data_centre = kgn-harbour
region = kingston
[listen]
caller_address = {find_free_address()}
operator_address = {find_free_address()}
control_address = {control_address}
[log]
address = {log_address}
[entries]
seeds = {control_address}
[limits]
drain_timeout_s = 12
"""
    if context.secure:
        text += _access(context)

    async def start() -> None:
        context.log = LogService(log_address, random.Random(1))
        context.cleanups.append(context.log.close)
        entry = EntryProcess(parse_settings(text, EntrySettings))
        context.entry = entry
        entry.start()
        context.cleanups.append(entry.kill)
        async with asyncio.timeout(START_TIMEOUT_S):
            while not entry.pump.caught_up:
                await asyncio.sleep(0.02)
        route = Route(name="quotes", prefix="/quotes", service="q", pool="p")
        for edit in (
            PoolEdited("p", 0, "pool", "test", Pool(name="p")),
            RouteEdited("quotes", 0, "route", "test", route),
        ):
            refusal = await entry.commits.commit(
                edit, time.monotonic(), START_TIMEOUT_S
            )
            assert not refusal, refusal

    context.loop.run_until_complete(start())


def _connect(context: Context, address: str) -> Caller:
    caller = Caller(address, secure=context.secure)
    context.cleanups.append(caller.close)
    return caller


def _before(
    target: object, name: str, action: Callable[[], None]
) -> Callable[[], None]:
    """Have an action run right before the first call of a method."""
    method = getattr(target, name)
    actions = [action]

    def run() -> object:
        if actions:
            actions.pop()()
        return method()

    setattr(target, name, run)
    return method


@given("a caller whose request on a kept connection was answered")
def answered_caller(context: Context) -> None:
    address = context.entry.settings.listen.caller_address
    context.caller = _connect(context, address)
    answer = context.loop.run_until_complete(
        asyncio.to_thread(context.caller.ask)
    )
    assert answer.startswith(b"HTTP/1.1 503"), answer


@given("an operator whose request on a kept connection was answered")
def answered_operator(context: Context) -> None:
    address = context.entry.settings.listen.operator_address
    context.caller = _connect(context, address)
    answer = context.loop.run_until_complete(
        asyncio.to_thread(context.caller.ask)
    )
    assert answer.startswith(b"HTTP/1.1 404"), answer


@when("it sends another one at the last moment before the entry exits")
def request_at_exit(context: Context) -> None:
    entry = context.entry
    context.taken = False

    def send() -> None:
        # The event loop does not run again before the process is gone.
        with contextlib.suppress(OSError):
            if not context.caller.ended:
                context.caller.send()
                context.taken = True

    _before(entry, "kill", send)
    context.cut = context.loop.run_until_complete(entry.stop())


@then("the entry has closed the connection before")
def is_closed(context: Context) -> None:
    assert context.cut == [], context.cut
    assert not context.taken, "the kernel took a request that nobody reads"


@when("a caller connects right before the entry stops listening")
def connect_late(context: Context) -> None:
    entry = context.entry
    address = entry.settings.listen.caller_address
    answers: list[asyncio.Future[bytes]] = []

    def ask(caller: Caller) -> bytes:
        with contextlib.suppress(OSError):
            return caller.ask()
        return b""

    def connect() -> None:
        # The event loop is busy until the entry stops listening.
        caller = _connect(context, address)
        answers.append(asyncio.ensure_future(asyncio.to_thread(ask, caller)))
        time.sleep(HELD_UP_S)

    async def run() -> None:
        _before(entry._callers, "stop", connect)
        await entry.stop()
        context.answer = await answers[0]

    context.loop.run_until_complete(run())


@then('it is answered {status:d} with "{verdict}"')
def is_answered(context: Context, status: int, verdict: str) -> None:
    head = context.answer.decode()
    assert head.startswith(f"HTTP/1.1 {status} "), head or "no answer"
    assert f"Yuccapoint-Verdict: {verdict}\r\n" in head, head


@then("the answer announces that the connection is closed")
def announces_close(context: Context) -> None:
    head = context.answer.decode()
    assert "Connection: close\r\n" in head, head


@when("a caller resets its connection right before the entry stops listening")
def reset_late(context: Context) -> None:
    entry = context.entry
    address = entry.settings.listen.caller_address

    def reset() -> None:
        # The event loop is busy until the entry stops listening.
        _connect(context, address).reset()
        time.sleep(HELD_UP_S)

    _before(entry._callers, "stop", reset)
    context.cut = context.loop.run_until_complete(entry.stop())


@when("the entry closes everything at once")
def close_at_once(context: Context) -> None:
    async def kill() -> None:
        context.entry.kill()

    context.loop.run_until_complete(kill())


@then("no caller is connected")
def none_connected(context: Context) -> None:
    assert context.entry._callers.open_connections == 0
    assert context.caller.ended


@then("the entry stops with nothing aborted and no caller connected")
def stops(context: Context) -> None:
    assert context.cut == [], context.cut
    assert context.entry._callers.open_connections == 0


@when("an operator cancels a job late in a stop while the log is down")
def cancel_late(context: Context) -> None:
    entry = context.entry
    address = entry.settings.listen.operator_address
    operator = _connect(context, address)
    context.log.faults.down = True

    async def run() -> None:
        stopping = asyncio.ensure_future(entry.stop())
        await asyncio.sleep(CANCELLED_AFTER_S)
        operator.send(CANCELLATION)
        await stopping

    context.loop.run_until_complete(run())
    # The event loop does not run again: the process is gone.
    with contextlib.suppress(OSError):
        context.answer = operator.receive()


@then("the operator is answered that the log does not answer")
def log_fault(context: Context) -> None:
    answer = getattr(context, "answer", b"")
    assert b"log did not answer" in answer or (
        b"log does not answer" in answer
    ), answer or "no answer"


@when("it stops while an operator watches its decisions")
def stop_while_watched(context: Context) -> None:
    entry = context.entry
    operator = _connect(context, entry.settings.listen.operator_address)

    async def run() -> None:
        operator.send(WATCH)
        while not entry.decisions.subscriber_count:
            await asyncio.sleep(0.01)
        started_s = time.monotonic()
        await entry.stop()
        context.stop_s = time.monotonic() - started_s

    context.loop.run_until_complete(run())


@then("it has stopped within {seconds:d} s")
def stopped_within(context: Context, seconds: int) -> None:
    assert context.stop_s < seconds, context.stop_s
