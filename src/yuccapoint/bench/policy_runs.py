"""The placement policies on the same work."""

from __future__ import annotations

import random

import msgspec

from yuccapoint.bench.batch_shape import make_job
from yuccapoint.bench.batch_world import BatchWorld
from yuccapoint.bench.recovery_times import percentile
from yuccapoint.job.placement.registry import PLACEMENT_POLICIES

VMS = 24
JOBS = 900
SETTLED_S = 4.0
MEASURED_S = 40.0
RUN_TIMES_S = (5.0, 15.0, 40.0)


class PolicyFigures(msgspec.Struct):
    """What became of the work under one policy.

    Attributes
    ----------
    done : int
        Jobs done in the time measured.
    wait_p90_s : float
        Wait for the first start.
    accelerators_given : int
        Accelerators of the jobs that were started.
    fullest_rack_share : float
        Share of the running tasks on the fullest of eight racks.
    """

    done: int
    wait_p90_s: float
    accelerators_given: int
    fullest_rack_share: float


def run_policies(deployment: str, seed: int) -> dict[str, PolicyFigures]:
    """Run each policy on the same jobs."""
    return {
        name: _run(deployment, seed, name)
        for name in sorted(PLACEMENT_POLICIES)
    }


def _run(deployment: str, seed: int, placement: str) -> PolicyFigures:
    world = BatchWorld(deployment, seed, vms=VMS, placement=placement)
    rng = random.Random(seed)
    world.run(SETTLED_S)
    for number in range(JOBS):
        job = make_job(number, rng)
        run_s = rng.choice(RUN_TIMES_S)
        job = msgspec.structs.replace(job, command=f"run_s={run_s}")
        world.submit(job)
    world.run(SETTLED_S + 3.0)
    racks: dict[int, int] = {}
    for number, vm in enumerate(world.vms):
        rack = number // 3
        racks[rack] = racks.get(rack, 0) + len(vm.worker.tasks)
    share = max(racks.values()) / max(1, sum(racks.values()))
    world.run(SETTLED_S + MEASURED_S)
    oracle = world.oracle
    waits_s = [
        oracle.starts.get(job_id, [world.now_s])[0] - at_s
        for job_id, at_s in oracle.submitted_s.items()
    ]
    accelerated = sum(
        oracle.jobs[job_id].size.accelerators for job_id in oracle.starts
    )
    return PolicyFigures(
        sum(vm.finished_tasks for vm in world.vms),
        round(percentile(waits_s, 0.9), 2),
        accelerated,
        round(share, 3),
    )
