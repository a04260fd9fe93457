"""How long batch work stands still after deaths and outages."""

from __future__ import annotations

import random

import msgspec

from yuccapoint.bench.batch_shape import make_job
from yuccapoint.bench.batch_world import BatchWorld

DEATHS = 12
VMS = 11
SETTLED_S = 20.0
JOBS = 60
LONG_RUN_S = 100_000.0
OUTAGE_S = 600.0
BOTH_DEAD_LIMIT_S = 1_200.0


class OutageRatio(msgspec.Struct):
    """Tasks finished with an outage of ten minutes against without."""

    finished: int
    finished_without: int
    ratio: float
    double_runs: int


def percentile(values: list[float], share: float) -> float:
    """Give the value that a share of the values does not exceed."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def loaded_world(
    deployment: str, seed: int, jobs: int, run_time_s: float, vms: int = VMS
) -> BatchWorld:
    """Give a settled cell whose tasks run for long."""
    world = BatchWorld(deployment, seed, vms=vms)
    rng = random.Random(seed)
    world.run(4.0)
    for number in range(jobs):
        job = make_job(number, rng)
        longer_s = rng.uniform(0.0, 2.0) * run_time_s
        job = msgspec.structs.replace(job, command=f"run_s={longer_s:.1f}")
        world.submit(job)
    world.run(SETTLED_S)
    return world


def vm_death_resumes_s(deployment: str, seed: int) -> list[float]:
    """Kill VMs one by one; give each task's time to its next start."""
    took_s = []
    for number in range(DEATHS):
        world = loaded_world(deployment, seed * 100 + number, JOBS, LONG_RUN_S)
        world.run(world.now_s + world.rng.random())
        vm = max(world.vms, key=lambda v: len(v.worker.tasks))
        victims = list(vm.worker.tasks)
        died_s = world.now_s
        vm.crash()
        world.run(died_s + 30.0)
        for job_id in victims:
            again_s = world.oracle.starts[job_id][-1]
            took_s.append(again_s - died_s if again_s > died_s else 30.0)
    return took_s


def entry_death_pauses_s(deployment: str, seed: int) -> list[float]:
    """Kill entries one by one; give each task's pause."""
    pauses_s = []
    for number in range(DEATHS):
        world = loaded_world(deployment, seed * 200 + number, JOBS, LONG_RUN_S)
        world.run(world.now_s + world.rng.random())
        entry = world.rng.choice(world.entries)
        led = [v for v in world.vms if v.task_manager.leader == entry.entry_id]
        tasks = [job_id for vm in led for job_id in vm.worker.tasks]
        died_s = world.now_s
        entry.crash()
        world.run(died_s + 30.0)
        for job_id in tasks:
            again_s = world.oracle.starts[job_id][-1]
            pauses_s.append(max(0.0, again_s - died_s))
    return pauses_s


def both_dead_resume_s(deployment: str, seed: int) -> float:
    """Kill a VM and its leader at once; give when its tasks run again."""
    world = loaded_world(deployment, seed, JOBS, LONG_RUN_S)
    vm = max(world.vms, key=lambda v: len(v.worker.tasks))
    victims = list(vm.worker.tasks)
    leader = vm.task_manager.leader
    died_s = world.now_s
    vm.crash()
    for entry in world.entries:
        if entry.entry_id == leader:
            entry.crash()

    def resumed() -> bool:
        starts = world.oracle.starts
        return all(starts[job_id][-1] > died_s for job_id in victims)

    world.run_until(resumed, died_s + BOTH_DEAD_LIMIT_S, 5.0)
    return world.now_s - died_s


def outage_ratio(
    deployment: str, seed: int, vms: int, jobs: int, run_time_s: float
) -> OutageRatio:
    """Compare what finishes with the log down for ten minutes."""
    finished = []
    double_runs = 0
    for down in (False, True):
        world = loaded_world(deployment, seed, jobs, run_time_s, vms)
        world.log_down = down
        before = _finished(world)
        world.run(SETTLED_S + OUTAGE_S)
        finished.append(_finished(world) - before)
        world.log_down = False
        world.run(SETTLED_S + OUTAGE_S + 20.0)
        double_runs += world.oracle.double_runs
    return OutageRatio(
        finished[1],
        finished[0],
        round(finished[1] / max(1, finished[0]), 3),
        double_runs,
    )


def partition_double_runs(deployment: str, seed: int) -> int:
    """Cut one entry off the log for ten minutes; count double runs."""
    world = loaded_world(deployment, seed, JOBS, 120.0)
    world.entries[0].cut_off = True
    world.run(SETTLED_S + OUTAGE_S)
    world.entries[0].cut_off = False
    world.run(SETTLED_S + OUTAGE_S + 20.0)
    return world.oracle.double_runs + world.oracle.resumed_twice


def _finished(world: BatchWorld) -> int:
    return sum(vm.finished_tasks for vm in world.vms)
