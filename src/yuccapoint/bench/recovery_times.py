"""Downtime of batch tasks after crashes and outages."""

from __future__ import annotations

import random

import msgspec

from yuccapoint.bench.batch_simulation import BatchSimulation
from yuccapoint.bench.batch_workload import make_job

TRIAL_COUNT = 12
VM_COUNT = 11
SETTLE_S = 20.0
JOB_COUNT = 60
LONG_TASK_S = 100_000.0
OUTAGE_S = 600.0
BOTH_DEAD_TIMEOUT_S = 1_200.0


class OutageRatio(msgspec.Struct):
    """Tasks finished during a ten-minute outage, compared to without it."""

    finished: int
    finished_without: int
    ratio: float
    double_runs: int


def percentile(values: list[float], fraction: float) -> float:
    """Return the value that a fraction of the values does not exceed."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def loaded_simulation(
    deployment: str,
    seed: int,
    jobs: int,
    run_time_s: float,
    vms: int = VM_COUNT,
) -> BatchSimulation:
    """Return a settled simulation whose VMs run tasks.

    Run times are uniform between zero and twice ``run_time_s``.
    """
    simulation = BatchSimulation(deployment, seed, vms=vms)
    rng = random.Random(seed)
    simulation.run(4.0)
    for number in range(jobs):
        job = make_job(number, rng)
        run_s = rng.uniform(0.0, 2.0) * run_time_s
        job = msgspec.structs.replace(job, command=f"run_s={run_s:.1f}")
        simulation.submit(job)
    simulation.run(SETTLE_S)
    return simulation


def vm_death_resumes_s(deployment: str, seed: int) -> list[float]:
    """Kill one VM per trial; return the time until each task restarts."""
    resumes_s = []
    for number in range(TRIAL_COUNT):
        simulation = loaded_simulation(
            deployment, seed * 100 + number, JOB_COUNT, LONG_TASK_S
        )
        simulation.run(simulation.now_s + simulation.rng.random())
        vm = max(simulation.vms, key=lambda v: len(v.worker.tasks))
        affected_jobs = list(vm.worker.tasks)
        died_s = simulation.now_s
        vm.crash()
        simulation.run(died_s + 30.0)
        for job_id in affected_jobs:
            restarted_s = simulation.oracle.starts[job_id][-1]
            resumes_s.append(
                restarted_s - died_s if restarted_s > died_s else 30.0
            )
    return resumes_s


def entry_death_pauses_s(deployment: str, seed: int) -> list[float]:
    """Kill one entry per trial; return the pause of each task it led."""
    pauses_s = []
    for number in range(TRIAL_COUNT):
        simulation = loaded_simulation(
            deployment, seed * 200 + number, JOB_COUNT, LONG_TASK_S
        )
        simulation.run(simulation.now_s + simulation.rng.random())
        entry = simulation.rng.choice(simulation.entries)
        led_vms = [
            v
            for v in simulation.vms
            if v.task_manager.leader == entry.entry_id
        ]
        tasks = [job_id for vm in led_vms for job_id in vm.worker.tasks]
        died_s = simulation.now_s
        entry.crash()
        simulation.run(died_s + 30.0)
        for job_id in tasks:
            restarted_s = simulation.oracle.starts[job_id][-1]
            pauses_s.append(max(0.0, restarted_s - died_s))
    return pauses_s


def both_dead_resume_s(deployment: str, seed: int) -> float:
    """Kill a VM and its leader; return the time until all tasks restart."""
    simulation = loaded_simulation(deployment, seed, JOB_COUNT, LONG_TASK_S)
    vm = max(simulation.vms, key=lambda v: len(v.worker.tasks))
    affected_jobs = list(vm.worker.tasks)
    leader = vm.task_manager.leader
    died_s = simulation.now_s
    vm.crash()
    for entry in simulation.entries:
        if entry.entry_id == leader:
            entry.crash()

    def resumed() -> bool:
        starts = simulation.oracle.starts
        return all(starts[job_id][-1] > died_s for job_id in affected_jobs)

    simulation.run_until(resumed, died_s + BOTH_DEAD_TIMEOUT_S, 5.0)
    return simulation.now_s - died_s


def outage_ratio(
    deployment: str, seed: int, vms: int, jobs: int, run_time_s: float
) -> OutageRatio:
    """Compare the finished tasks with and without a log outage."""
    finished = []
    double_runs = 0
    for down in (False, True):
        simulation = loaded_simulation(deployment, seed, jobs, run_time_s, vms)
        simulation.log_down = down
        before = _finished(simulation)
        simulation.run(SETTLE_S + OUTAGE_S)
        finished.append(_finished(simulation) - before)
        simulation.log_down = False
        simulation.run(SETTLE_S + OUTAGE_S + 20.0)
        double_runs += simulation.oracle.double_runs
    return OutageRatio(
        finished[1],
        finished[0],
        round(finished[1] / max(1, finished[0]), 3),
        double_runs,
    )


def partition_double_runs(deployment: str, seed: int) -> int:
    """Partition an entry from the log; count double runs and resumes."""
    simulation = loaded_simulation(deployment, seed, JOB_COUNT, 120.0)
    simulation.entries[0].cut_off = True
    simulation.run(SETTLE_S + OUTAGE_S)
    simulation.entries[0].cut_off = False
    simulation.run(SETTLE_S + OUTAGE_S + 20.0)
    return simulation.oracle.double_runs + simulation.oracle.resumed_twice


def _finished(simulation: BatchSimulation) -> int:
    return sum(vm.finished_tasks for vm in simulation.vms)
