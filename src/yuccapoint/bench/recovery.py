"""Bench ``recovery``: promises under faults, and how fast work resumes."""

from __future__ import annotations

import msgspec

from yuccapoint.bench import recovery_times
from yuccapoint.bench.batch_shape import CAPACITIES
from yuccapoint.bench.fault_matrix import run_fault_matrix
from yuccapoint.bench.recovery_times import OutageRatio
from yuccapoint.bench.recovery_times import percentile
from yuccapoint.bench.registry import bench

LONG_RUN_S = 2_300.0
SHORT_RUN_S = 60.0
SHORT_JOBS = 1_400
SHORT_VMS = 2
LONG_JOBS = 300
LONG_MILLICORES = 384_000


class RecoveryFigures(msgspec.Struct):
    """What ``bench recovery`` measures, in virtual time.

    Attributes
    ----------
    outage_throughput_ratio : float
        With tasks of 2,300 s on average; at the letter's size they run
        for 46,000 s, of which still fewer end in ten minutes.
    outage_short_tasks : OutageRatio
        The same with a queue of tasks of a minute.
    """

    runs: int
    double_runs: int
    resumed_twice: int
    jobs_lost: int
    overcommitted_vms: int
    quota_breaches: int
    broken_in: list[str]
    lapsed_tasks: int
    vm_death_resume_s: float
    entry_death_pause_s: float
    both_dead_resume_s: float
    outage_throughput_ratio: float
    outage_long_tasks: OutageRatio
    outage_short_tasks: OutageRatio
    partition_double_runs: int


@bench("recovery")
def measure(deployment: str, seed: int) -> RecoveryFigures:
    """Strike a small cell with each fault, alone and in pairs."""
    broken = run_fault_matrix(deployment, seed)
    resumes_s = recovery_times.vm_death_resumes_s(deployment, seed)
    pauses_s = recovery_times.entry_death_pauses_s(deployment, seed)
    both_s = recovery_times.both_dead_resume_s(deployment, seed)
    long_vms = LONG_MILLICORES // CAPACITIES[deployment].millicores
    long = recovery_times.outage_ratio(
        deployment, seed, long_vms, LONG_JOBS, LONG_RUN_S
    )
    short = recovery_times.outage_ratio(
        deployment, seed, SHORT_VMS, SHORT_JOBS, SHORT_RUN_S
    )
    return RecoveryFigures(
        broken.runs,
        broken.double_runs,
        broken.resumed_twice,
        broken.jobs_lost,
        broken.overcommitted_vms,
        broken.quota_breaches,
        broken.found,
        broken.lapsed_tasks,
        round(percentile(resumes_s, 0.99), 2),
        round(percentile(pauses_s, 0.99), 2),
        round(both_s, 1),
        long.ratio,
        long,
        short,
        recovery_times.partition_double_runs(deployment, seed),
    )
