"""Structure-aware fuzzing with malformed, huge and truncated input."""

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

HOSTILE_VALUES: list[Any] = [
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


def nested_paths(
    value: Any, path: tuple[Any, ...] = ()
) -> list[tuple[Any, ...]]:
    """Return the paths of all parts of a nested value."""
    found = [path] if path else []
    if isinstance(value, dict):
        for key, part in value.items():
            found += nested_paths(part, (*path, key))
    elif isinstance(value, list):
        for index, part in enumerate(value):
            found += nested_paths(part, (*path, index))
    return found


def mutate_value(value: Any, rng: random.Random) -> Any:
    """Replace or drop one part of a nested value."""
    path = rng.choice(nested_paths(value))
    target = value
    for step in path[:-1]:
        target = target[step]
    if rng.random() < 0.1:
        del target[path[-1]]
        return value
    kind = type(target[path[-1]])
    candidates = [part for part in HOSTILE_VALUES if type(part) is kind]
    if rng.random() < 0.2 or not candidates:
        candidates = HOSTILE_VALUES
    target[path[-1]] = rng.choice(candidates)
    return value


def mutate_bytes(data: bytes, rng: random.Random) -> bytes:
    """Corrupt an encoded message by structure, truncation or random bytes."""
    if rng.random() < 0.2:
        return data[: rng.randrange(len(data))]
    if rng.random() < 0.1:
        return rng.randbytes(rng.randrange(200))
    return msgspec.msgpack.encode(
        mutate_value(msgspec.msgpack.decode(data), rng)
    )


class TrafficRecorder:
    """Records samples of a world's control messages and session frames."""

    def __init__(self, world: World) -> None:
        self.packets: dict[str, Packet] = {}
        self.frames: dict[Any, bytes] = {}
        original = world.network.send

        def send(packet: Packet) -> None:
            kind = type(packet.message).__name__
            self.packets[f"{kind} {packet.address}"] = packet
            original(packet)

        world.network.send = send  # type: ignore[method-assign]

    def record_frames(self, world: World) -> None:
        for data in world.network.recent_writes:
            kind = msgspec.msgpack.decode(data[4:])[0]
            self.frames[kind] = data[4:]


def build_busy_world() -> tuple[World, TrafficRecorder]:
    world = World()
    recorder = TrafficRecorder(world)
    world.set_route(name="quote", idempotent=True)
    world.set_route(name="book")
    submit(world, 6)
    for index in range(4):
        world.request(index, "quote", size=20_000)
        world.request(index, "book", "key", at_most_once=True)
        world.request(index, "quote")
        world.advance(0.4)
    world.leave(2)
    world.request(1, "quote")
    world.advance(1)
    recorder.record_frames(world)
    world.advance(2)
    return world, recorder


def feed_messages(count: int) -> None:
    """Deliver corrupted control messages to all members."""
    world, recorder = build_busy_world()
    rng = random.Random(count)
    packets = list(recorder.packets.values())
    for _ in range(count):
        packet = rng.choice(packets)
        data = mutate_bytes(packet.data, rng)
        member = world.network.members[packet.address]
        member.call(member.process.control_channel.receive, data)
        world.advance(0.1)
    check_still_serving(world)


def feed_frames(count: int) -> None:
    """Write corrupted frames into open sessions, in both directions."""
    world, recorder = build_busy_world()
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
        body = mutate_bytes(msgspec.msgpack.encode(frame), rng)
        length = len(body)
        if rng.random() < 0.1:
            length = rng.choice([0, 1, 1 << 31, MAX_FRAME_BYTES + 1])
        stream.outbound += struct.pack("!I", length) + body
        world.advance(0.1)
    check_still_serving(world)


def hostile_responses(number: int) -> list[Frame]:
    """Return invalid responses to a request."""
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


def feed_responses(count: int) -> None:
    """Send invalid responses; each caller's request must still end."""
    for case in range(count):
        world, _ = build_busy_world()
        for endpoint in world.endpoints:
            endpoint.work_s = 1.0
        exchange = world.request(0, "book", at_most_once=True)
        world.advance(0.3)
        sessions = world.entries[0].process.forwarder._sessions.values()
        session = next(s for s in sessions if s._pending)
        number = next(iter(session._pending))
        body = msgspec.msgpack.encode(hostile_responses(number)[case])
        agent: Any = session._frames._stream.peer  # type: ignore
        agent.outbound += struct.pack("!I", len(body)) + body
        world.advance(8)
        assert exchange.finished or exchange.broken, body
        assert not world.entries[0].process.in_flight, body
        check_still_serving(world)


def feed_records(count: int) -> None:
    """Append corrupted records to the log."""
    world, _ = build_busy_world()
    rng = random.Random(count)
    store = world.log.store
    samples = [record.data for record in store.read(0) or []]
    for number in range(count):
        data = msgspec.msgpack.decode(rng.choice(samples))
        data[0] = f"hostile@{number}"
        encoded = msgspec.msgpack.encode(data)
        store.append(mutate_bytes(encoded, rng), world.wall_ms())
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
    assert len(states) == 1, "the entries' job states differ"
    check_still_serving(world, must_answer=False)


def feed_operator_calls(count: int) -> None:
    """Send corrupted bodies to the operator API."""
    world, _ = build_busy_world()
    rng = random.Random(count)
    exchanges: list[Exchange] = []
    for number in range(count):
        exchanges.append(world.edit(number, "pools", "pool", 1, POOL))
        exchanges.append(world.submit(number, team="t", size=POOL, command=""))
        for exchange in exchanges[-2:]:
            body = msgspec.json.decode(exchange.request_body)
            exchange.request_body = msgspec.json.encode(
                mutate_value(body, rng)
            )
            if rng.random() < 0.2:
                exchange.request_body = exchange.request_body[
                    : rng.randrange(20)
                ]
            exchange.edit = None
            exchange.job = None
            world.send_operator_call(number, exchange)
        world.advance(0.2)
    world.advance(5)
    statuses = {exchange.status for exchange in exchanges}
    assert not statuses & {0, 500}, statuses
    check_still_serving(world, must_answer=False)


def check_still_serving(world: World, *, must_answer: bool = True) -> None:
    """Check that all members are alive and still serve requests."""
    try:
        world.advance(8)
        last = world.request(0, "quote")
        world.advance(6)
        assert not must_answer or last.status == 200, last.body
        assert len(world.members()) == 5
        world.oracle.check_invariants()
    finally:
        world.close()


class ByteStream:
    """A stream that closes after the given bytes.

    Each read returns ``step`` bytes at most.
    """

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
    """Read frames until the stream closes or a ``ProtocolError`` is raised."""
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
    """Decode random bytes as frames."""
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
    """Parse corrupted settings; only ``SettingsError`` may be raised."""
    rng = random.Random(count)
    valid_text = """[process]
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
    parse_settings(valid_text, EntrySettings)
    pieces = ["[", "]", "=", "\0", "%(x)s", "\n", "[DEFAULT]\n", "é", " ", ":"]
    for _ in range(count):
        text = list(valid_text)
        for _ in range(rng.randrange(1, 6)):
            position = rng.randrange(len(text))
            text[position : position + rng.randrange(9)] = rng.choice(pieces)
        try:
            parse_settings("".join(text), EntrySettings)
        except SettingsError as error:
            assert str(error)


FEEDS: dict[str, Callable[[int], None]] = {
    "control messages": feed_messages,
    "session frames": feed_frames,
    "agent responses": feed_responses,
    "log records": feed_records,
    "operator calls": feed_operator_calls,
    "byte streams": feed_streams,
    "settings texts": feed_settings,
}
