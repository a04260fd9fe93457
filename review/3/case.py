"""A worker crashes just after its start, as its clock is set back."""

import asyncio
import time

from world import main

CLOCK_STEP_MS = 2000
CLOCK_STEP_S = 5.0
CRASH_AFTER_S, DOWN_S = 0.8, 0.5
CONTACT_S = 3.0
FINISH_S = 14.0
IDLE_S = 3.0


async def restart_in_the_past(world, worker):
    step_at_s = time.monotonic()
    world.note(f"the clock of side-1 is set back by {CLOCK_STEP_MS} ms")
    worker.crash()
    await asyncio.sleep(DOWN_S)
    worker.restart()
    worker.born -= CLOCK_STEP_MS
    world.note(f"worker side-1 says born {worker.born}")
    await asyncio.sleep(step_at_s + CLOCK_STEP_S - time.monotonic())
    world.note("the clock of side-1 is right again")


async def case(world):
    worker = world.workers["side-1"]
    worker.labels = ["b", "r1"]
    await asyncio.sleep(2)
    await worker.start()
    world.note(f"worker side-1 starts, born {worker.born}")
    await asyncio.sleep(CRASH_AFTER_S)
    if world.trouble:
        await restart_in_the_past(world, worker)
    await asyncio.sleep(2 * CONTACT_S)
    step = {
        "Count": 2,
        "Cpu": 1000,
        "MemMb": 256,
        "EstimateMs": 500,
        "Requirements": "b",
    }
    job_id = await world.submit([step], 500)
    await asyncio.sleep(FINISH_S + IDLE_S)
    state = await world.state(job_id)
    if not any(task.startswith(job_id) for task in world.checker.started):
        world.checker.fail(
            "LOST", f"{job_id} is {state} and has nothing running"
        )


main(case, agents=7, later=("side-1",))
