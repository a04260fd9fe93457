"""Plays one seed: load and faults together, then calm, then the verdict."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from soak.faults import FAULTS
from soak.world import World

if TYPE_CHECKING:
    import pathlib

SUBMIT_EVERY_S = 0.4
CANCEL_SHARE = 0.07
LOOK_EVERY_S = 0.3
# Faults begin this far apart at most; several go on at once.
FAULT_PAUSE_S = 2.5
# After the last fault all accepted jobs have to end within this time: the
# recovery that is promised, a lease, and the jobs that wait meanwhile.
CALM_S = 30.0


class Verdict:
    """What was seen of one seed."""

    def __init__(self, seed: int, world: World, faults: list[str]) -> None:
        self.seed = seed
        self.broken = world.oracle.broken
        self.starts = world.oracle.starts
        self.jobs = len(world.oracle.jobs)
        self.accepted = sum(j.accepted for j in world.oracle.jobs.values())
        self.faults = faults


async def _load(world: World) -> None:
    submissions: set[asyncio.Task[None]] = set()
    while True:
        task = asyncio.ensure_future(world.submit())
        submissions.add(task)
        task.add_done_callback(submissions.discard)
        if world.rng.random() < CANCEL_SHARE:
            await world.cancel()
        await asyncio.sleep(SUBMIT_EVERY_S)


async def _look(world: World) -> None:
    while True:
        await asyncio.sleep(LOOK_EVERY_S)
        jobs = list(world.oracle.jobs.values())
        if jobs:
            job = world.rng.choice(jobs)
            await world.look(job, world.rng.choice(world.entries))


async def _wait_for_all(world: World) -> None:
    end_s = time.monotonic() + CALM_S
    left = [job for job in world.oracle.jobs.values() if job.accepted]
    while left and time.monotonic() < end_s:
        for job in list(left):
            state = await world.look(job, world.rng.choice(world.entries))
            if state in ("completed", "cancelled"):
                left.remove(job)
        await asyncio.sleep(0.2)
    for job in left:
        world.oracle.broken.append(f"LOST: {job.job_id} did not end")


async def play(
    seed: int, directory: pathlib.Path, seconds: float, entries: int, vms: int
) -> Verdict:
    """Play a seed and judge it.

    Parameters
    ----------
    seed : int
        Decides loads and faults.
    directory : pathlib.Path
        Where logs of the processes are left.
    seconds : float
        How long faults begin.
    entries, vms : int
        Size of the deployment.
    """
    world = World(directory, seed, entries, vms)
    names: list[str] = []
    helpers: list[asyncio.Task[None]] = []
    try:
        await world.start()
        helpers = [
            asyncio.ensure_future(job) for job in (_load(world), _look(world))
        ]
        running = []
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            await asyncio.sleep(world.rng.uniform(0.1, FAULT_PAUSE_S))
            name = world.rng.choice([*FAULTS])
            names.append(name)
            running.append(asyncio.ensure_future(FAULTS[name](world)))
        await asyncio.gather(*running)
        for name in (*world.entries, *world.agents):
            # Faults that overlap may leave a process stopped.
            world.spawn(name)
        helpers.pop(0).cancel()
        await _wait_for_all(world)
        world.oracle.judge_refusals()
    finally:
        for helper in helpers:
            helper.cancel()
        await world.close()
    return Verdict(seed, world, names)
