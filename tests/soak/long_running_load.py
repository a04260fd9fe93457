"""Submits long-running jobs, some of which fail."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING

from soak.soak_job import SoakJob

if TYPE_CHECKING:
    from soak.world import World

# Mean run times of jobs that never fail and of those that do now and then.
MEAN_RUNS_S = (math.inf, 4.0, 12.0)
MAX_SUBMIT_INTERVAL_S = 0.8
CANCEL_PROBABILITY = 0.15
POLL_INTERVAL_S = 0.5
# Job ids of this load begin here.
FIRST_JOB_ID = 0xA000


class LongRunningLoad:
    """Long-running jobs of one seed.

    Their random numbers are their own, so that seeds draw the same other jobs
    and faults with and without them.

    Parameters
    ----------
    world : World
        The deployment.
    seed : int
        Seed of the soak.
    """

    def __init__(self, world: World, seed: int) -> None:
        self._world = world
        self._rng = random.Random(f"long-running {seed}")
        hopeless = self._rng.randint(2, 6)
        means_s = [0.0] * hopeless + [
            self._rng.choice(MEAN_RUNS_S)
            for _ in range(self._rng.randint(4, 8))
        ]
        self._rng.shuffle(means_s)
        self.jobs = [
            SoakJob(
                f"{FIRST_JOB_ID + number:016x}",
                f"long-running {number}",
                [self._rng.randint(1, 3)],
                mean_s,
            )
            for number, mean_s in enumerate(means_s)
        ]

    async def submit_all(self) -> None:
        """Submit the jobs one by one, and cancel some of them."""
        for job in self.jobs:
            self._world.oracle.jobs[job.job_id] = job
            step = {
                "Count": job.steps[0],
                "Cpu": job.cpu_milli,
                "MemMb": 64,
                "EstimateMs": 500,
                "Persistent": True,
            }
            await self._world.submit_job(job, [step], self._rng)
            await asyncio.sleep(self._rng.uniform(0.1, MAX_SUBMIT_INTERVAL_S))
            accepted = [j for j in self.jobs if j.accepted]
            if accepted and self._rng.random() < CANCEL_PROBABILITY:
                await self._world.cancel_job(
                    self._rng.choice(accepted), self._rng
                )

    async def poll_states(self) -> None:
        """Query the states of accepted jobs periodically."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            accepted = [job for job in self.jobs if job.accepted]
            if accepted:
                await self._world.query_state(
                    self._rng.choice(accepted),
                    self._rng.choice(self._world.entries),
                )

    async def check_states(self) -> None:
        """Check that each accepted job is known."""
        for job in self.jobs:
            if job.accepted and not await self._state_of(job):
                self._world.oracle.record_violation(
                    "LOST", f"no entry gave a state of {job.job_id}"
                )

    async def _state_of(self, job: SoakJob) -> str:
        for entry in self._rng.sample(
            self._world.entries, len(self._world.entries)
        ):
            state = await self._world.query_state(job, entry)
            if state:
                return state
        return ""
