from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
import signal
import sys
import tempfile
import time
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

sys.path.append(str(pathlib.Path(__file__).parents[2]))

from soak.kept_connection import KeptConnection  # noqa: E402
from soak.limited_share import limit_share  # noqa: E402
from soak.world import FRONT_PORT  # noqa: E402
from soak.world import ROUTE_HOST  # noqa: E402
from soak.world import STOP_GRACE_S  # noqa: E402
from soak.world import World  # noqa: E402

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from behave.runner import Context

# Connections are open and idle before the stop begins.
BEFORE_STOP_S = 0.5
# Requests of a stop, by the time after SIGTERM: the entry is out of rotation
# by the first, and gone by the last. Gaps are as long as the time without
# requests after which an entry may exit.
FIRST_REQUEST_S = 2.3
LAST_REQUEST_S = 4.6
MEAN_GAP_S = 0.25
# When an entry closes its listener.
LISTENER_CLOSED_S = 2.6
BODY = b'{"Spec":"x","Steps":[{"Count":1,"Cpu":100,"MemMb":16}]}'


class StoppedEntries:
    """Entries that stop as planned, and their callers' connections."""

    def __init__(self, world: World, seed: int) -> None:
        self.world = world
        self.rng = random.Random(seed)
        self.connections: list[KeptConnection] = []
        self.stop_s: dict[str, float] = {}
        self.stopped_at_s = 0.0
        self._requests = 0

    async def stop(
        self, count: int, disturb: Callable[[str], Awaitable[None]]
    ) -> None:
        """Stop entries once their callers have connected."""
        names = self.world.entries[-count:]
        await asyncio.sleep(max(0, self.stopped_at_s - time.monotonic()))
        for name in names:
            self.world.signal(name, signal.SIGTERM)
        await asyncio.gather(*(self._follow(name, disturb) for name in names))
        for connection in self.connections:
            await asyncio.to_thread(connection.join)

    async def _follow(
        self, name: str, disturb: Callable[[str], Awaitable[None]]
    ) -> None:
        disturbance = asyncio.ensure_future(disturb(name))
        while self.world.alive(name):
            await asyncio.sleep(0.005)
            assert time.monotonic() < self.stopped_at_s + 30
        self.stop_s[name] = time.monotonic() - self.stopped_at_s
        await disturbance

    def connect(self, name: str, at_s: float, body_after_s: float = 0) -> None:
        """Open a connection for one request, sent after the stop begins."""
        self._requests += 1
        head = (
            f"POST /q/{self._requests:016x} HTTP/1.1\r\nHost: {ROUTE_HOST}"
            f"\r\nContent-Length: {len(BODY)}\r\n\r\n"
        ).encode()
        at_s += self.stopped_at_s
        parts = [(at_s, head + BODY)]
        if body_after_s:
            parts = [(at_s, head), (at_s + body_after_s, BODY)]
        connection = KeptConnection((self.world.ip(name), FRONT_PORT), [parts])
        connection.start()
        self.connections.append(connection)

    def stop_soon(self) -> None:
        self.stopped_at_s = time.monotonic() + BEFORE_STOP_S


@given("a real deployment of {count:d} entries")
def start_entries(context: Context, count: int) -> None:
    scratch = tempfile.TemporaryDirectory()
    context.cleanups.append(scratch.cleanup)
    context.world = World(pathlib.Path(scratch.name), 1, count, vms=1)
    context.cleanups.append(
        lambda: context.loop.run_until_complete(context.world.close())
    )
    context.loop.run_until_complete(context.world.start())


@when(
    "{count:d} entries stop as planned, held up for {share:f} of the time,"
    " seed {seed:d}"
)
def stop_held_up(
    context: Context, count: int, share: float, seed: int
) -> None:
    world = context.world
    stops = context.stops = StoppedEntries(world, seed)
    stops.stop_soon()
    for name in world.entries[-count:]:
        at_s = FIRST_REQUEST_S
        while at_s < LAST_REQUEST_S:
            stops.connect(name, at_s)
            at_s += stops.rng.expovariate(1 / MEAN_GAP_S)
    context.loop.run_until_complete(
        stops.stop(count, lambda name: limit_share(world, name, share))
    )


@when(
    "callers connect to {count:d} stopping entries that are held up"
    " for {held_up_s:f} s"
)
def connect_held_up(context: Context, count: int, held_up_s: float) -> None:
    stops = context.stops = StoppedEntries(context.world, 1)
    stops.stop_soon()

    async def hold_up(name: str) -> None:
        begin_s = LISTENER_CLOSED_S - stops.rng.uniform(0, held_up_s / 2)
        await asyncio.sleep(stops.stopped_at_s + begin_s - time.monotonic())
        context.world.signal(name, signal.SIGSTOP)
        end_s = time.monotonic() + held_up_s
        # An entry that has closed its listener already accepts nothing.
        with contextlib.suppress(ConnectionRefusedError):
            for _ in range(10):
                stops.connect(name, 0.0)
        await asyncio.sleep(end_s - time.monotonic())
        context.world.signal(name, signal.SIGCONT)

    context.loop.run_until_complete(stops.stop(count, hold_up))


@when(
    "callers of {count:d} stopping entries send bodies"
    " {seconds:f} s after their headers"
)
def send_in_parts(context: Context, count: int, seconds: float) -> None:
    world = context.world
    stops = context.stops = StoppedEntries(world, 1)
    stops.stop_soon()
    for name in world.entries[-count:]:
        for _ in range(3):
            # Their headers arrive before the listener is closed, and their
            # bodies after an idle entry may have exited.
            at_s = LISTENER_CLOSED_S - stops.rng.uniform(0.02, 0.12)
            stops.connect(name, at_s, seconds)
    context.loop.run_until_complete(
        stops.stop(count, lambda _: asyncio.sleep(0))
    )


@then("no request on an open connection is lost")
def none_lost(context: Context) -> None:
    connections = context.stops.connections
    lost = [f"{c.unanswered_for_s:.2f} s" for c in connections if c.lost]
    assert not lost, f"closed without an answer after {', '.join(lost)}"
    assert sum(connection.answered for connection in connections)


@then("each request is answered")
def each_answered(context: Context) -> None:
    connections = context.stops.connections
    cut = [c for c in connections if not c.answered]
    assert connections and not cut, f"{len(cut)} of {len(connections)} cut"


@then("each stopped entry is gone within the time that the platform grants")
def gone_in_time(context: Context) -> None:
    assert max(context.stops.stop_s.values()) < STOP_GRACE_S, (
        context.stops.stop_s
    )
