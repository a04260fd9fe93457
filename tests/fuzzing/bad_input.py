"""Malformed, huge, truncated and hostile input, made by structure."""

from __future__ import annotations

import asyncio
import random
import struct
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from tornado.iostream import StreamClosedError

from fuzzing.sequences import submit
from fuzzing.world import POOL
from fuzzing.world import World
from yuccapoint.connection.frame_stream import FrameStream
from yuccapoint.connection.frame_stream import MAX_FRAME_BYTES
from yuccapoint.connection.frames import RequestFailed
from yuccapoint.connection.frames import ResponseChunk
from yuccapoint.connection.frames import ResponseHead
from yuccapoint.exceptions import ProtocolError
from yuccapoint.exceptions import SettingsError
from yuccapoint.process.settings.loader import parse_settings
from yuccapoint.process.settings.sections import EntrySettings
from yuccapoint.request.header import Header

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuzzing.exchange import Exchange
    from fuzzing.network import Packet
    from yuccapoint.connection.frames import Frame

HOSTILE: list[Any] = [
    None,
    True,
    -1,
    0,
    (1 << 63) - 1,
    -(1 << 63),
    float("nan"),
    float("inf"),
    -1e308,
    "",
    "\0",
    "x" * 70_000,
    "../../etc",
    "vm-0",
    b"\xff" * 100,
    [],
    [[]] * 50,
    {},
    {"type": "ar"},
]


def paths_of(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Give the paths of all parts of a nested value."""
    found = [path] if path else []
    if isinstance(value, dict):
        for key, part in value.items():
            found += paths_of(part, (*path, key))
    elif isinstance(value, list):
        for index, part in enumerate(value):
            found += paths_of(part, (*path, index))
    return found


def mutated(value: Any, rng: random.Random) -> Any:
    """Replace or drop one part of a nested value."""
    path = rng.choice(paths_of(value))
    target = value
    for step in path[:-1]:
        target = target[step]
    if rng.random() < 0.1:
        del target[path[-1]]
        return value
    kind = type(target[path[-1]])
    alike = [part for part in HOSTILE if type(part) is kind]
    if rng.random() < 0.2 or not alike:
        alike = HOSTILE
    target[path[-1]] = rng.choice(alike)
    return value


def mutated_bytes(data: bytes, rng: random.Random) -> bytes:
    """Damage an encoded message: by structure, or by cutting bytes."""
    if rng.random() < 0.2:
        return data[: rng.randrange(len(data))]
    if rng.random() < 0.1:
        return rng.randbytes(rng.randrange(200))
    return msgspec.msgpack.encode(mutated(msgspec.msgpack.decode(data), rng))


class Recorder:
    """Keeps samples of the messages, frames and appends of a world."""

    def __init__(self, world: World) -> None:
        self.packets: dict[str, Packet] = {}
        self.frames: dict[Any, bytes] = {}
        whole = world.network.send

        def send(packet: Packet) -> None:
            kind = type(packet.message).__name__
            self.packets[f"{kind} {packet.address}"] = packet
            whole(packet)

        world.network.send = send  # type: ignore[method-assign]

    def take_frames(self, world: World) -> None:
        for data in world.network.written:
            kind = msgspec.msgpack.decode(data[4:])[0]
            self.frames[kind] = data[4:]


def busy_world() -> tuple[World, Recorder]:
    world = World()
    recorder = Recorder(world)
    world.set_route(name="quote", idempotent=True)
    world.set_route(name="book")
    submit(world, 6)
    for index in range(4):
        world.request(index, "quote", size=20_000)
        world.request(index, "book", "key", once=True)
        world.request(index, "quote")
        world.advance(0.4)
    world.leave(2)
    world.request(1, "quote")
    world.advance(1)
    recorder.take_frames(world)
    world.advance(2)
    return world, recorder


def feed_messages(count: int) -> None:
    """Send hostile control messages to all members."""
    world, recorder = busy_world()
    rng = random.Random(count)
    packets = list(recorder.packets.values())
    for _ in range(count):
        packet = rng.choice(packets)
        data = mutated_bytes(packet.data, rng)
        member = world.network.members[packet.address]
        member.call(member.process.control_channel.take, data)
        world.advance(0.1)
    end(world)


def feed_frames(count: int) -> None:
    """Send hostile frames into open sessions, both ways."""
    world, recorder = busy_world()
    rng = random.Random(count)
    refused = RequestFailed(1, 503, "not-run", "text", 1.0, 0, "")
    recorder.frames[7] = msgspec.msgpack.encode(refused)
    frames = list(recorder.frames.values())
    for endpoint in world.endpoints:
        endpoint.work_s = 1.0
    for number in range(count):
        if number % 4 == 0:
            world.request(number, "quote")
        if not world.network.streams:
            continue
        stream = rng.choice(world.network.streams)
        frame = msgspec.msgpack.decode(rng.choice(frames))
        if isinstance(frame[1], int):
            frame[1] = number // 8 + rng.randrange(10)
        body = mutated_bytes(msgspec.msgpack.encode(frame), rng)
        length = len(body)
        if rng.random() < 0.1:
            length = rng.choice([0, 1, 1 << 31, MAX_FRAME_BYTES + 1])
        stream.out += struct.pack("!I", length) + body
        world.advance(0.1)
    end(world)


def hostile_answers(number: int) -> list[Frame]:
    """Give answers to a request that no agent should give."""
    nan, inf = float("nan"), float("inf")
    split = [Header("A\r\nB", "c\r\nd")]
    return [
        ResponseHead(number, 200, "OK", split, 0, b"", True),
        ResponseHead(number, -1, "x", [], 0, b"", True),
        ResponseHead(number, 200, "a\r\nb", [], 0, b"x", False),
        RequestFailed(number, -5, "unknown", "t\r\nx", nan, -9, "r\r\n"),
        RequestFailed(number, 503, "ran", "t", inf, 0, ""),
        ResponseChunk(number, b"zz", True),
    ]


def feed_answers(count: int) -> None:
    """Answer requests in hostile ways; no caller may wait for ever."""
    for case in range(count):
        world, _ = busy_world()
        for endpoint in world.endpoints:
            endpoint.work_s = 1.0
        exchange = world.request(0, "book", once=True)
        world.advance(0.3)
        sessions = world.entries[0].process.forwarder._sessions.values()
        session = next(s for s in sessions if s._pending)
        number = next(iter(session._pending))
        body = msgspec.msgpack.encode(hostile_answers(number)[case])
        agent: Any = session._frames._stream.peer  # type: ignore
        agent.out += struct.pack("!I", len(body)) + body
        world.advance(8)
        assert exchange.finished or exchange.broken, body
        assert not world.entries[0].process.in_flight, body
        end(world)


def feed_records(count: int) -> None:
    """Append damaged records to the log."""
    world, _ = busy_world()
    rng = random.Random(count)
    store = world.log.store
    samples = [record.data for record in store.read(0) or []]
    for number in range(count):
        data = msgspec.msgpack.decode(rng.choice(samples))
        data[0] = f"hostile@{number}"
        encoded = msgspec.msgpack.encode(data)
        store.append(mutated_bytes(encoded, rng), world.wall_ms())
        world.advance(0.1)
    states = {
        msgspec.json.encode(
            sorted(
                (name, job.state.value, job.attempt)
                for name, job in entry.process.cell.board.jobs.items()
            )
        )
        for entry in world.entries
    }
    assert len(states) == 1, "the entries differ"
    end(world, answered=False)


def feed_operators(count: int) -> None:
    """Send hostile bodies to the operators' port."""
    world, _ = busy_world()
    rng = random.Random(count)
    told: list[Exchange] = []
    for number in range(count):
        told.append(world.edit(number, "pools", "pool", 1, POOL))
        told.append(world.submit(number, team="t", size=POOL, command=""))
        for exchange in told[-2:]:
            body = msgspec.json.decode(exchange.sent)
            exchange.sent = msgspec.json.encode(mutated(body, rng))
            if rng.random() < 0.2:
                exchange.sent = exchange.sent[: rng.randrange(20)]
            exchange.edit = None
            exchange.job = None
            world.operate(number, exchange)
        world.advance(0.2)
    world.advance(5)
    statuses = {exchange.status for exchange in told}
    assert not statuses & {0, 500}, statuses
    end(world, answered=False)


def end(world: World, *, answered: bool = True) -> None:
    """Check that all members live, and still do their work."""
    try:
        world.advance(8)
        last = world.request(0, "quote")
        world.advance(6)
        assert not answered or last.status == 200, last.body
        assert len(world.members()) == 5
        world.oracle.sample()
    finally:
        world.close()


class ByteStream:
    """A stream that ends after some bytes."""

    def __init__(self, data: bytes, step: int) -> None:
        self._data = data
        self._step = step

    def set_nodelay(self, value: bool) -> None:
        del value

    async def read_bytes(self, count: int, *, partial: bool) -> bytes:
        del partial
        if not self._data:
            raise StreamClosedError
        size = min(count, self._step)
        data, self._data = self._data[:size], self._data[size:]
        return data


def read_frames(data: bytes, step: int) -> list[Frame]:
    """Read all frames of some bytes; a clear error ends it."""
    frames = FrameStream(ByteStream(data, step))  # type: ignore[arg-type]
    found: list[Frame] = []

    async def read() -> None:
        while True:
            found.extend(await frames.read())

    try:
        asyncio.get_event_loop().run_until_complete(read())
    except (StreamClosedError, ProtocolError):
        assert len(frames._buffer) <= 2 * MAX_FRAME_BYTES
    return found


def feed_streams(count: int) -> None:
    """Read random bytes as frames."""
    rng = random.Random(count)
    for _ in range(count):
        data = b"".join(
            struct.pack("!I", rng.choice([0, 3, 60, 1 << 20, 1 << 31]))
            + rng.randbytes(rng.randrange(80))
            for _ in range(rng.randrange(4))
        )
        read_frames(data, rng.randrange(1, 50))
    nested = b"\x91" * 200_000
    read_frames(struct.pack("!I", len(nested)) + nested, 1 << 16)


def feed_settings(count: int) -> None:
    """Check damaged settings texts; only clear errors may come."""
    rng = random.Random(count)
    whole = """[process]
name = entry-1
data_centre = a
region = b
[listen]
caller_address = 127.0.0.1:7000
operator_address = 127.0.0.1:7001
control_address = 127.0.0.1:7002
[log]
address = 127.0.0.1:7100
[entries]
seeds = 127.0.0.1:7002
"""
    parse_settings(whole, EntrySettings)
    pieces = ["[", "]", "=", "\0", "%(x)s", "\n", "[DEFAULT]\n", "é", " ", ":"]
    for _ in range(count):
        text = list(whole)
        for _ in range(rng.randrange(1, 6)):
            place = rng.randrange(len(text))
            text[place : place + rng.randrange(9)] = rng.choice(pieces)
        try:
            parse_settings("".join(text), EntrySettings)
        except SettingsError as error:
            assert str(error)


FEEDS: dict[str, Callable[[int], None]] = {
    "control messages": feed_messages,
    "session frames": feed_frames,
    "answers of an agent": feed_answers,
    "log records": feed_records,
    "operators' calls": feed_operators,
    "byte streams": feed_streams,
    "settings texts": feed_settings,
}
