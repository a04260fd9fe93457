"""Simulated network for control messages and request sessions."""

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
    """An encoded control message in transit."""

    def __init__(self, sender: Member, address: str, data: bytes) -> None:
        self.sender = sender
        self.address = address
        self.data = data

    @property
    def message(self) -> ControlMessage:
        return msgspec.msgpack.decode(self.data, type=ControlMessage)


class Network:
    """Transports messages and session bytes and injects faults."""

    def __init__(self, trace: Callable[[str], None]) -> None:
        self.members: dict[str, Member] = {}
        self.sessions: dict[str, Member] = {}
        self.streams: list[ScriptedStream] = []
        self.recent_writes: collections.deque[bytes] = collections.deque(
            maxlen=200
        )
        self.faults: list[str] = []
        self.isolated_regions: set[str] = set()
        self.isolated_members: set[str] = set()
        self.members_without_log: set[str] = set()
        self.hold_filter: Callable[[ControlMessage], bool] | None = None
        self.held_packets: list[Packet] = []
        self._queue: list[Packet] = []
        self._trace = trace

    def is_partitioned(self, one: Member, other: Member) -> bool:
        if (
            one.name in self.isolated_members
            or other.name in self.isolated_members
        ):
            return True
        if one.region == other.region:
            return False
        return bool(self.isolated_regions & {one.region, other.region})

    def send(self, packet: Packet) -> None:
        fault = self.faults.pop(0) if self.faults else ""
        if self.hold_filter is not None and self.hold_filter(packet.message):
            fault = "hold"
        if fault == "drop":
            self._trace_packet("drop", packet)
            return
        if fault == "hold":
            self._trace_packet("hold", packet)
            self.held_packets.append(packet)
            return
        self._queue.append(packet)
        if fault == "double":
            self._trace_packet("double", packet)
            self._queue.append(packet)
            self.held_packets.append(packet)

    def release(self, *, reordered: bool) -> None:
        """Queue the held messages for delivery, in reverse if asked."""
        if reordered:
            self.held_packets.reverse()
        self._queue.extend(self.held_packets)
        self.held_packets.clear()

    def deliver(self) -> None:
        queue, self._queue = self._queue, []
        for packet in queue:
            member = self.members.get(packet.address)
            if member is None or not member.alive:
                continue
            if self.is_partitioned(packet.sender, member):
                continue
            if member.paused:
                self._queue.append(packet)
                continue
            self._trace_packet("->", packet)
            member.post(member.process.control_channel.receive, packet.data)
        for stream in list(self.streams):
            stream.flush(self)

    def _trace_packet(self, action: str, packet: Packet) -> None:
        message = packet.message
        fields = [
            f"{key}={getattr(message, key)}"
            for key in ("sequence", "term", "reply_to", "version")
            if hasattr(message, key)
        ]
        work = 0
        for key in ("tasks", "starts", "stops", "routes"):
            parts = getattr(message, key, None)
            if parts:
                work += 1
                fields.append(f"{key}={_short(parts)}")
        if action == "->" and not work:
            return
        receiver = self.members.get(packet.address)
        name = receiver.name if receiver else packet.address
        kind = type(message).__name__
        self._trace(f"{packet.sender.name} {action} {name}: {kind} {fields}")


def _short(parts: list[object]) -> str:
    found = []
    for part in parts:
        subject = getattr(part, "job", part)
        name = getattr(subject, "job_id", "") or getattr(subject, "name", "")
        attempt = getattr(part, "attempt", "")
        outcome = getattr(part, "outcome", "")
        found.append(f"{name} {attempt} {outcome}".strip())
    return "; ".join(found)


class ScriptedControlChannel(ControlChannel):
    """A control channel over the simulated network."""

    def __init__(
        self,
        network: Network,
        member: Member,
        deliver: Callable[[ControlMessage], None],
    ) -> None:
        super().__init__("", deliver, lambda *_, **__: None)
        self._network = network
        self._member = member

    def send(self, address: str, message: ControlMessage) -> None:
        if not self._member.alive:
            return
        data = msgspec.msgpack.encode(message)
        self._network.send(Packet(self._member, address, data))

    def receive(self, data: bytes) -> None:
        self._handle(data)


class ScriptedStream:
    """One end of a request session; it replaces a tornado stream."""

    socket = None

    def __init__(self, network: Network, member: Member) -> None:
        self.member = member
        self._network = network
        self.peer: ScriptedStream
        self.outbound = bytearray()
        self._inbound = bytearray()
        self._closed = False
        self._ended = False
        self._reader: asyncio.Future[bytes] | None = None
        network.streams.append(self)

    def set_nodelay(self, value: bool) -> None:
        del value

    def closed(self) -> bool:
        return self._closed

    def writing(self) -> bool:
        return bool(self.outbound)

    def write(self, data: bytes) -> asyncio.Future[None]:
        if self._closed:
            raise StreamClosedError
        self.outbound += data
        self._network.recent_writes.append(data)
        done = asyncio.get_event_loop().create_future()
        done.set_result(None)
        return done

    async def read_bytes(self, count: int, *, partial: bool) -> bytes:
        del partial
        if not self._inbound:
            if self._closed or self._ended:
                raise StreamClosedError
            self._reader = asyncio.get_event_loop().create_future()
            await self._reader
        if not self._inbound:
            raise StreamClosedError
        data = bytes(self._inbound[:count])
        del self._inbound[:count]
        return data

    def close(self) -> None:
        self._closed = True
        self._wake()

    def flush(self, network: Network) -> None:
        """Transfer written bytes to the peer unless the link is cut."""
        peer = self.peer
        if peer.member.paused or network.is_partitioned(
            self.member, peer.member
        ):
            return
        if self.outbound and not peer._closed:
            peer._inbound += self.outbound
            self.outbound.clear()
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
    """Replaces tornado's TCP client."""

    network: Network
    current: Callable[[], Member]

    async def connect(self, host: str, port: int) -> ScriptedStream:
        network = ScriptedConnector.network
        member = ScriptedConnector.current()
        target = network.sessions.get(f"{host}:{port}")
        if target is None or not target.alive or not member.alive:
            raise ConnectionRefusedError("connection refused")
        if network.is_partitioned(member, target) or target.paused:
            await asyncio.sleep(60)
            raise TimeoutError
        client_end = ScriptedStream(network, member)
        server_end = ScriptedStream(network, target)
        client_end.peer, server_end.peer = server_end, client_end
        target.spawn(
            target.process._requests.handle_stream, server_end, ("", 0)
        )
        return client_end
