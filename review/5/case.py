"""Two hopeless submissions keep tasks that last from being restarted."""

import asyncio
import time

from world import main

SUBMISSIONS, HOPELESS = 40, 2
# Nothing may run for 3 s, from 6 s after the last run of a task that lasts.
IDLE_S = 6.0 + 3.0
FAILURES = 20
FAILURE_GAP_S = 0.9


class IdleCheck:
    """Finds tasks that last and have nothing running for too long."""

    def __init__(self, world):
        self.world = world
        self.sound_jobs = set()
        self.ended_at_s = {}
        self.longest_s = 0.0
        self.reported = set()

    def look(self):
        now_s = time.monotonic()
        running = {
            run.task
            for worker in self.world.workers.values()
            for run in worker.running.values()
        }
        for job_id in self.sound_jobs:
            task = f"{job_id}.0.0.0"
            if task in running:
                self.ended_at_s.pop(task, None)
                continue
            idle_s = now_s - self.ended_at_s.setdefault(task, now_s)
            self.longest_s = max(self.longest_s, idle_s)
            if idle_s > IDLE_S and task not in self.reported:
                self.reported.add(task)
                self.world.checker.fail(
                    "LOST", f"{task} has nothing running for {IDLE_S:.0f} s"
                )

    async def run(self):
        while True:
            self.look()
            await asyncio.sleep(0.05)


async def case(world):
    await asyncio.sleep(2.5)
    check = IdleCheck(world)
    step = {
        "Count": 1,
        "Cpu": 1000,
        "MemMb": 256,
        "EstimateMs": 1000,
        "Persistent": True,
    }
    for number in range(SUBMISSIONS):
        hopeless = world.trouble and number < HOPELESS
        job_id = await world.submit([step], 0, spec={"hopeless": hopeless})
        if not hopeless:
            check.sound_jobs.add(job_id)
    looks = asyncio.ensure_future(check.run())
    await asyncio.sleep(20)
    for _ in range(FAILURES):
        worker, run = next(
            (worker, run)
            for worker in world.workers.values()
            for run in worker.running.values()
            if run.run == 1 and not run.hopeless
        )
        worker.end(run, "failed")
        await asyncio.sleep(FAILURE_GAP_S)
    await asyncio.sleep(IDLE_S + 4)
    looks.cancel()
    idle = [worker.name for worker in world.workers.values() if worker.up]
    world.note(f"workers that are up: {idle}")
    world.note(f"longest time without a run: {check.longest_s:.1f} s")
    print(f"longest time without a run: {check.longest_s:.1f} s")


main(case)
