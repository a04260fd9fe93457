"""Scripted control messages and request sessions."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

import msgspec
from tornado.iostream import StreamClosedError

from yuccapoint.connection.control_channel import ControlChannel
from yuccapoint.connection.messages import ControlMessage

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuzzing.members import Member


class Packet:
    """An encoded control message under way."""

    def __init__(self, sender: Member, address: str, data: bytes) -> None:
        self.sender = sender
        self.address = address
        self.data = data

    @property
    def message(self) -> ControlMessage:
        return msgspec.msgpack.decode(self.data, type=ControlMessage)


class Network:
    """Carries messages and bytes; rules script its faults."""

    def __init__(self, trace: Callable[[str], None]) -> None:
        self.members: dict[str, Member] = {}
        self.sessions: dict[str, Member] = {}
        self.streams: list[ScriptedStream] = []
        self.written: collections.deque[bytes] = collections.deque(maxlen=200)
        self.faults: list[str] = []
        self.cut_regions: set[str] = set()
        self.cut_names: set[str] = set()
        self.cut_from_log: set[str] = set()
        self.holds: Callable[[ControlMessage], bool] | None = None
        self.held: list[Packet] = []
        self._queue: list[Packet] = []
        self._trace = trace

    def is_cut(self, one: Member, other: Member) -> bool:
        if one.name in self.cut_names or other.name in self.cut_names:
            return True
        if one.region == other.region:
            return False
        return bool(self.cut_regions & {one.region, other.region})

    def send(self, packet: Packet) -> None:
        fault = self.faults.pop(0) if self.faults else ""
        if self.holds is not None and self.holds(packet.message):
            fault = "hold"
        if fault == "drop":
            self._note("drop", packet)
            return
        if fault == "hold":
            self._note("hold", packet)
            self.held.append(packet)
            return
        self._queue.append(packet)
        if fault == "double":
            self._note("double", packet)
            self._queue.append(packet)
            self.held.append(packet)

    def release(self, *, crossed: bool) -> None:
        """Deliver what was held, late and perhaps in another order."""
        if crossed:
            self.held.reverse()
        self._queue.extend(self.held)
        self.held.clear()

    def deliver(self) -> None:
        queue, self._queue = self._queue, []
        for packet in queue:
            member = self.members.get(packet.address)
            if member is None or not member.alive:
                continue
            if self.is_cut(packet.sender, member):
                continue
            if member.paused:
                self._queue.append(packet)
                continue
            self._note("->", packet)
            member.post(member.process.control_channel.take, packet.data)
        for stream in list(self.streams):
            stream.flush(self)

    def _note(self, word: str, packet: Packet) -> None:
        message = packet.message
        shown = [
            f"{key}={getattr(message, key)}"
            for key in ("sequence", "term", "reply_to", "version")
            if hasattr(message, key)
        ]
        work = 0
        for key in ("tasks", "starts", "stops", "routes"):
            parts = getattr(message, key, None)
            if parts:
                work += 1
                shown.append(f"{key}={_short(parts)}")
        if word == "->" and not work:
            return
        to = self.members.get(packet.address)
        name = to.name if to else packet.address
        kind = type(message).__name__
        self._trace(f"{packet.sender.name} {word} {name}: {kind} {shown}")


def _short(parts: list[object]) -> str:
    found = []
    for part in parts:
        whom = getattr(part, "job", part)
        name = getattr(whom, "job_id", "") or getattr(whom, "name", "")
        attempt = getattr(part, "attempt", "")
        outcome = getattr(part, "outcome", "")
        found.append(f"{name} {attempt} {outcome}".strip())
    return "; ".join(found)


class ScriptedMailbox(ControlChannel):
    """A mailbox whose messages go over the scripted network."""

    def __init__(
        self,
        network: Network,
        member: Member,
        deliver: Callable[[ControlMessage], None],
    ) -> None:
        super().__init__("", deliver)
        self._network = network
        self._member = member

    def send(self, address: str, message: ControlMessage) -> None:
        if not self._member.alive:
            return
        data = msgspec.msgpack.encode(message)
        self._network.send(Packet(self._member, address, data))

    def take(self, data: bytes) -> None:
        self._handle(data)


class ScriptedStream:
    """One end of a request session, in place of a tornado stream."""

    def __init__(self, network: Network, member: Member) -> None:
        self.member = member
        self._network = network
        self.peer: ScriptedStream
        self.out = bytearray()
        self._in = bytearray()
        self._closed = False
        self._ended = False
        self._reader: asyncio.Future[bytes] | None = None
        network.streams.append(self)

    def set_nodelay(self, value: bool) -> None:
        del value

    def closed(self) -> bool:
        return self._closed

    def write(self, data: bytes) -> asyncio.Future[None]:
        if self._closed:
            raise StreamClosedError
        self.out += data
        self._network.written.append(data)
        done = asyncio.get_event_loop().create_future()
        done.set_result(None)
        return done

    async def read_bytes(self, count: int, *, partial: bool) -> bytes:
        del partial
        if not self._in:
            if self._closed or self._ended:
                raise StreamClosedError
            self._reader = asyncio.get_event_loop().create_future()
            await self._reader
        if not self._in:
            raise StreamClosedError
        data = bytes(self._in[:count])
        del self._in[:count]
        return data

    def close(self) -> None:
        self._closed = True
        self._wake()

    def flush(self, network: Network) -> None:
        """Move what was written to the peer, unless the way is cut."""
        peer = self.peer
        if peer.member.paused or network.is_cut(self.member, peer.member):
            return
        if self.out and not peer._closed:
            peer._in += self.out
            self.out.clear()
            peer._wake()
        if self._closed and not peer._ended:
            peer._ended = True
            peer._wake()
        if self._closed and peer._closed and self in network.streams:
            network.streams.remove(self)

    def _wake(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(b"")


class ScriptedConnector:
    """Takes the place of tornado's TCP client."""

    network: Network
    current: Callable[[], Member]

    async def connect(self, host: str, port: int) -> ScriptedStream:
        network = ScriptedConnector.network
        member = ScriptedConnector.current()
        served = network.sessions.get(f"{host}:{port}")
        if served is None or not served.alive or not member.alive:
            raise ConnectionRefusedError("nobody listens")
        if network.is_cut(member, served) or served.paused:
            await asyncio.sleep(60)
            raise TimeoutError
        near = ScriptedStream(network, member)
        far = ScriptedStream(network, served)
        near.peer, far.peer = far, near
        served.spawn(served.process._requests.handle_stream, far, ("", 0))
        return near
