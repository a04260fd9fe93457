"""A worker restarts under its id while its machine's clock is set back."""

import asyncio
import time

from world import main

CLOCK_STEP_MS = 2000
CLOCK_STEP_S = 5.0
FINISH_S = 14.0
IDLE_S = 3.0


async def crash(worker, back_ms):
    worker.crash()
    await asyncio.sleep(0.5)
    worker.restart()
    worker.born -= back_ms
    worker.world.note(f"worker {worker.name} says born {worker.born}")


async def case(world):
    worker = world.workers["side-1"]
    worker.labels = ["b", "r1"]
    step = {
        "Count": 2,
        "Cpu": 1000,
        "MemMb": 256,
        "EstimateMs": 500,
        "Requirements": "b",
    }
    await asyncio.sleep(2.5)
    first = await world.submit([step], 500)
    await world.until(lambda: world.checker.starts >= 2, 10, "it has started")
    await asyncio.sleep(2)
    await crash(worker, 0)
    await asyncio.sleep(1.0)
    back_ms = CLOCK_STEP_MS if world.trouble else 0
    step_at_s = time.monotonic()
    world.note(f"clock of side-1 is set back by {back_ms} ms")
    await crash(worker, back_ms)
    await asyncio.sleep(step_at_s + CLOCK_STEP_S - time.monotonic())
    world.note("clock of side-1 is right again")
    await asyncio.sleep(6)
    last = await world.submit([step], 500)
    await asyncio.sleep(FINISH_S)
    idle_since_s = time.monotonic()
    while time.monotonic() - idle_since_s < IDLE_S:
        if any(task.startswith(last) for task in world.checker.done):
            break
        await asyncio.sleep(0.05)
    state = await world.state(last)
    if state != "completed":
        world.checker.fail("LOST", f"{last} is {state} and has nothing running")
    await world.state(first)


main(case, agents=3)
