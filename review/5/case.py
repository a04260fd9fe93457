"""Check-ins of another writer, with an address that can't be read."""

import asyncio
import json
import time

from httpio import call
from world import main

ENDS = 3
MACHINES = 2
RESTART_S = 0.5


async def keep_running(world):
    """Start programs that ended again, as the platform does."""
    while True:
        for name, process in list(world.processes.items()):
            if process.poll() is not None:
                world.note_exits()
                await asyncio.sleep(RESTART_S)
                world.spawn(name)
        await asyncio.sleep(0.05)


async def case(world):
    step = {"Count": 4, "Cpu": 1000, "MemMb": 256, "EstimateMs": 4000}
    await world.submit([step], 4000)
    await asyncio.sleep(3)
    platform = asyncio.ensure_future(keep_running(world))
    targets = world.agents[:MACHINES]
    for number in range(ENDS if world.trouble else 0):
        for name in targets:
            body = {
                "Service": "another-service",
                "Address": "127.0..1:8080",
                "Zone": "zone-a",
                "Version": "v1",
                "Slots": 8,
                "State": "ready",
                "ColdRemainingMs": 0,
                "Capacity": {"Cpu": 16000, "MemMb": 62500, "Gpu": 0},
                "Labels": ["a", "r1"],
                "ClockMs": 1000,
                "Seq": 1,
                "born": int(time.time() * 1000),
            }
            answer = await call(
                world.workers[name].control,
                "PUT",
                f"/yuccapoint/instances/i-other-{number}",
                json.dumps(body).encode(),
                {"Content-Type": "application/json"},
            )
            world.note(f"check-in of i-other-{number} at {name}: {answer}")
        await asyncio.sleep(6)
    if not world.trouble:
        await asyncio.sleep(6 * ENDS)
    world.note_exits()
    platform.cancel()
    ended = {
        name: sum(1 for other, _ in world.exits if other == name)
        for name in targets
    }
    world.note(f"programs ended by themselves: {ended}")
    world.checker.broken = [
        text for text in world.checker.broken if text.startswith("Fault")
    ]
    if all(count >= ENDS for count in ended.values()):
        world.checker.fail(
            "Fault", f"programs ended by themselves on {MACHINES} machines:"
            f" {ended}",
        )


main(case)
