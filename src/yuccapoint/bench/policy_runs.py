"""Comparison of the placement policies on the same workload."""

from __future__ import annotations

import random

import msgspec

from yuccapoint.bench.batch_simulation import BatchSimulation
from yuccapoint.bench.batch_workload import make_job
from yuccapoint.bench.recovery_times import percentile
from yuccapoint.job.placement.registry import PLACEMENT_POLICIES

VM_COUNT = 24
JOB_COUNT = 900
SETTLE_S = 4.0
MEASUREMENT_S = 40.0
RUN_TIMES_S = (5.0, 15.0, 40.0)


class PolicyFigures(msgspec.Struct):
    """Results of one placement policy.

    Attributes
    ----------
    done : int
        Jobs finished within the measured time.
    wait_p90_s : float
        90th percentile of the wait from submission to the first start.
    accelerators_given : int
        Accelerators allocated to the jobs that were started.
    fullest_rack_share : float
        Share of the running tasks on the fullest of eight racks.
    """

    done: int
    wait_p90_s: float
    accelerators_given: int
    fullest_rack_share: float


def run_policies(deployment: str, seed: int) -> dict[str, PolicyFigures]:
    """Run each placement policy on the same jobs."""
    return {
        name: _run(deployment, seed, name)
        for name in sorted(PLACEMENT_POLICIES)
    }


def _run(deployment: str, seed: int, placement: str) -> PolicyFigures:
    simulation = BatchSimulation(
        deployment, seed, vms=VM_COUNT, placement=placement
    )
    rng = random.Random(seed)
    simulation.run(SETTLE_S)
    for number in range(JOB_COUNT):
        job = make_job(number, rng)
        run_s = rng.choice(RUN_TIMES_S)
        job = msgspec.structs.replace(job, command=f"run_s={run_s}")
        simulation.submit(job)
    simulation.run(SETTLE_S + 3.0)
    tasks_by_rack: dict[int, int] = {}
    for number, vm in enumerate(simulation.vms):
        rack = number // 3
        tasks_by_rack[rack] = tasks_by_rack.get(rack, 0) + len(vm.worker.tasks)
    fullest_share = max(tasks_by_rack.values()) / max(
        1, sum(tasks_by_rack.values())
    )
    simulation.run(SETTLE_S + MEASUREMENT_S)
    oracle = simulation.oracle
    waits_s = [
        oracle.starts.get(job_id, [simulation.now_s])[0] - at_s
        for job_id, at_s in oracle.submitted_s.items()
    ]
    accelerators_given = sum(
        oracle.jobs[job_id].size.accelerators for job_id in oracle.starts
    )
    return PolicyFigures(
        sum(vm.finished_tasks for vm in simulation.vms),
        round(percentile(waits_s, 0.9), 2),
        accelerators_given,
        round(fullest_share, 3),
    )
