"""A worker fails all that it starts, among them two members of a gang."""

import asyncio

from world import main

MAX_ATTEMPTS = 2
GREY_S = 6.5
MEMBERS = 14


async def case(world):
    await asyncio.sleep(2.5)
    grey = world.workers["side-3"]
    if world.trouble:
        grey.fails_all = True
        world.note(f"{grey.name} fails all that it starts")
    step = {
        "Count": MEMBERS,
        "Cpu": 4000,
        "MemMb": 1024,
        "EstimateMs": 1000,
        "Gang": True,
    }
    job_id = await world.submit([step], 1000, spec={"gang": MEMBERS})
    await asyncio.sleep(GREY_S)
    grey.fails_all = False
    world.note(f"{grey.name} is sound")
    await asyncio.sleep(10)
    state = await world.state(job_id)
    failed = len(world.gangs.failed_runs.get(f"{job_id}.0.0", ()))
    world.note(f"{failed} runs of the gang have failed")
    if state == "failed" and failed < MAX_ATTEMPTS:
        world.checker.fail(
            "LOST",
            f"{job_id} is shown as failed after {failed} failed run(s) of its"
            f" gang; MaxAttempts is {MAX_ATTEMPTS}",
        )


main(case, agents=7, MaxAttempts=MAX_ATTEMPTS)
