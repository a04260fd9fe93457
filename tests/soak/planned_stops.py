"""Stops entries as planned while callers keep using their connections."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

from soak.kept_connection import KeptConnection
from soak.limited_share import limit_share
from soak.world import FRONT_PORT
from soak.world import ROUTE_HOST
from soak.world import STOP_GRACE_S

if TYPE_CHECKING:
    from collections.abc import Iterator
    import random

    from soak.world import World

# Requests, by the time after the stop signal, are sent until the process is
# gone, with gaps as long as the time after which it may look for them last.
FIRST_REQUEST_S = 1.5
LAST_REQUEST_S = 5.5
MEAN_GAP_S = 0.3
CONNECT_S = 0.5
MAX_RESTART_S = 1.0
HELD_UP_SHARES = (0.0, 0.3, 0.6)
SIGNAL_PROBABILITY = 0.3
SPLIT_PROBABILITY = 0.2
# A soak that is held up for longer than this freezes entries and the store.
MAX_HOLD_UP_S = 0.5


def _random_request(
    rng: random.Random, at_s: float
) -> list[tuple[float, bytes]]:
    """Return the times and the bytes of the parts of a request."""
    path = rng.choice(("/q/", f"/q/{'f' * 16}"))
    data = f"GET {path} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n\r\n".encode()
    if rng.random() >= SPLIT_PROBABILITY:
        return [(at_s, data)]
    cut = rng.randrange(1, len(data))
    return [(at_s, data[:cut]), (at_s + rng.uniform(0.05, 0.6), data[cut:])]


def _connect(
    world: World, name: str, stop_at_s: float
) -> Iterator[KeptConnection]:
    """Open connections, half of which are used before the stop as well."""
    rng = world.stop_rng
    at_s = FIRST_REQUEST_S
    while at_s < LAST_REQUEST_S:
        requests = [_random_request(rng, stop_at_s + at_s)]
        if rng.random() < 0.5:
            first = _random_request(rng, stop_at_s)
            requests.insert(0, [(0.0, data) for _, data in first])
        connection = KeptConnection((world.ip(name), FRONT_PORT), requests)
        connection.start()
        yield connection
        at_s += rng.expovariate(1 / MEAN_GAP_S)


async def _signal_later(
    world: World, name: str, number: signal.Signals
) -> None:
    if world.stop_rng.random() < SIGNAL_PROBABILITY:
        await asyncio.sleep(world.stop_rng.uniform(0.0, STOP_GRACE_S / 2))
        world.signal(name, number)


async def stop_entry(world: World, name: str) -> None:
    """Stop an entry under calls, and restart it when it is gone."""
    if not world.alive(name) or name in world.stopping:
        return
    world.stopping.add(name)
    stop_at_s = time.monotonic() + CONNECT_S
    try:
        connections = await asyncio.to_thread(
            lambda: list(_connect(world, name, stop_at_s))
        )
    except OSError:
        # Another fault has the process down or without a listener.
        world.stopping.remove(name)
        return
    await asyncio.sleep(stop_at_s - time.monotonic())
    world.signal(name, signal.SIGTERM)
    kill_at_s = time.monotonic() + STOP_GRACE_S
    disturbances = [
        asyncio.ensure_future(job)
        for job in (
            limit_share(world, name, world.stop_rng.choice(HELD_UP_SHARES)),
            _signal_later(world, name, signal.SIGTERM),
            _signal_later(world, name, signal.SIGHUP),
        )
    ]
    checked_at_s = time.monotonic()
    while world.alive(name) and checked_at_s < kill_at_s:
        await asyncio.sleep(0.01)
        if time.monotonic() - checked_at_s > MAX_HOLD_UP_S:
            world.on_unplanned_fault()
        checked_at_s = time.monotonic()
    world.signal(name, signal.SIGKILL)
    for connection in connections:
        await asyncio.to_thread(connection.join)
        world.kept_answers += connection.answered
        if world.unplanned_since(connection.unanswered_at_s):
            world.excused_closes += connection.lost
            continue
        world.oracle.on_close(name, connection.unanswered_for_s)
    # The next instance isn't signalled.
    for disturbance in disturbances:
        disturbance.cancel()
    await asyncio.sleep(world.stop_rng.uniform(0.0, MAX_RESTART_S))
    world.spawn(name)
    world.stopping.remove(name)
