"""A check-in of another writer, for a service that no config names."""

import asyncio
import json
import time

from httpio import call
from world import main

STRAY_PORT = 8099


async def case(world):
    step = {"Count": 4, "Cpu": 1000, "MemMb": 256, "EstimateMs": 14000}
    for _ in range(4):
        await world.submit([step], 14000)
    await world.until(
        lambda: world.checker.starts >= 16, 10, "all tasks have started"
    )
    await asyncio.sleep(3)
    worker = max(world.workers.values(), key=lambda w: len(w.running))
    if world.trouble:
        ip = worker.control.rpartition(":")[0]
        body = {
            "Service": "another-service",
            "Address": f"{ip}:{STRAY_PORT}",
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
            worker.control,
            "PUT",
            "/yuccapoint/instances/i-other",
            json.dumps(body).encode(),
            {"Content-Type": "application/json"},
        )
        world.note(f"check-in of i-other at {worker.name}: {answer}")
    await asyncio.sleep(30)


main(case)
