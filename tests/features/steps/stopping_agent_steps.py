from __future__ import annotations

import asyncio
import socket
import struct
import time
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import msgspec
from request_path_steps import listen
from request_path_steps import ScriptedEndpoint

from yuccapoint.connection.frames import Frame
from yuccapoint.connection.frames import RequestHead
from yuccapoint.connection.frames import ResponseHead
from yuccapoint.connection.frames import SessionHandshake
from yuccapoint.connection.frames import SessionProbe
from yuccapoint.process.agent_process import AgentProcess
from yuccapoint.process.endpoint_registry import Announcement
from yuccapoint.process.settings.loader import parse_settings
from yuccapoint.process.settings.sections import AgentSettings
from yuccapoint_standins.deployment import find_free_address

if TYPE_CHECKING:
    from behave.runner import Context

LENGTH_PREFIX = struct.Struct("!I")
RECEIVE_BUFFER_BYTES = 4_096
PROBE_INTERVAL_S = 0.05
READ_BYTES = 65_536
# A link of about 1 MB/s.
READ_PAUSE_S = 0.06
ANSWER_TIMEOUT_S = 5.0
REQUEST_TIMEOUT_S = 20.0


class SlowEntry:
    """An entry's session over a slow link."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.complete: set[int] = set()
        self._buffer = bytearray()
        self._socket = socket.socket()
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.connect((host, int(port)))
        self._socket.settimeout(ANSWER_TIMEOUT_S)
        self.send(SessionHandshake("entry", 1))

    def send(self, frame: Frame) -> None:
        """Send a frame."""
        data = msgspec.msgpack.encode(frame)
        self._socket.sendall(LENGTH_PREFIX.pack(len(data)) + data)

    def request(self, number: int, size_bytes: int) -> None:
        """Send a request for a response of a size."""
        self.send(
            RequestHead(
                number,
                "quotes",
                "quotes-1",
                "quotes",
                "customer",
                "GET",
                f"/whole/{size_bytes}",
                [],
                REQUEST_TIMEOUT_S,
                False,
                "",
                b"",
                True,
            )
        )

    def read_to_end(self) -> None:
        """Read slowly until the agent closes the session."""
        probed_at_s = 0.0
        try:
            while data := self._socket.recv(READ_BYTES):
                self._buffer += data
                self._decode()
                time.sleep(READ_PAUSE_S * len(data) / READ_BYTES)
                now_s = time.monotonic()
                if now_s >= probed_at_s + PROBE_INTERVAL_S:
                    probed_at_s = now_s
                    self.send(SessionProbe(1))
        except OSError:
            return

    def close(self) -> None:
        """Close the session."""
        self._socket.close()

    def _decode(self) -> None:
        while len(self._buffer) >= LENGTH_PREFIX.size:
            (length,) = LENGTH_PREFIX.unpack_from(self._buffer)
            end = LENGTH_PREFIX.size + length
            if end > len(self._buffer):
                return
            body = bytes(self._buffer[LENGTH_PREFIX.size : end])
            del self._buffer[:end]
            frame = msgspec.msgpack.decode(body, type=Frame)
            if isinstance(frame, ResponseHead) and frame.last:
                self.complete.add(frame.request_id)


@given("an agent with an endpoint and a session of an entry on a slow link")
def start_agent(context: Context) -> None:
    session_address = find_free_address()
    text = f"""
[process]
name = vm-1
data_centre = kgn-harbour
region = kingston
rack = rack-1
pool = p
[listen]
announce_address = {find_free_address()}
control_address = {find_free_address()}
session_address = {session_address}
[worker]
address = {find_free_address()}
[entries]
seeds = {find_free_address()}
[limits]
drain_timeout_s = 10
"""

    async def start() -> None:
        agent = AgentProcess(parse_settings(text, AgentSettings))
        context.agent = agent
        agent.start()
        context.cleanups.append(agent.kill)
        context.scripted = ScriptedEndpoint()
        address = listen(context.scripted, context)
        agent.endpoints.announce(
            Announcement("quotes-1", "quotes", address, 1),
            time.monotonic(),
        )
        context.slow_entry = await asyncio.to_thread(
            SlowEntry, session_address
        )
        context.cleanups.append(context.slow_entry.close)

    context.loop.run_until_complete(start())


@when(
    "it stops while {count:d} responses of {size:d} bytes are on their way to "
    "the entry"
)
def stop_agent(context: Context, count: int, size: int) -> None:
    agent, entry = context.agent, context.slow_entry

    async def run() -> None:
        for number in range(1, count + 1):
            entry.request(number, size)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while context.scripted.runs < count or agent.unfinished():
                await asyncio.sleep(0.01)
        stopping = asyncio.ensure_future(agent.stop())
        # The entry's link transfers nothing until the agent looks idle.
        await asyncio.sleep(2.0)
        reading = asyncio.to_thread(entry.read_to_end)
        context.cut, _ = await asyncio.gather(stopping, reading)

    context.loop.run_until_complete(run())


@then("the entry received {count:d} complete responses before the agent left")
def received(context: Context, count: int) -> None:
    assert context.cut == [], context.cut
    assert len(context.slow_entry.complete) == count, len(
        context.slow_entry.complete
    )
