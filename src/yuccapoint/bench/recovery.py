"""Benchmark ``recovery``: guarantees under faults and time to resume."""

from __future__ import annotations

import msgspec

from yuccapoint.bench import recovery_times
from yuccapoint.bench.batch_workload import CAPACITIES
from yuccapoint.bench.fault_matrix import run_fault_matrix
from yuccapoint.bench.recovery_times import OutageRatio
from yuccapoint.bench.recovery_times import percentile
from yuccapoint.bench.registry import bench

LONG_TASK_S = 2_300.0
SHORT_TASK_S = 60.0
SHORT_JOBS = 1_400
SHORT_VMS = 2
LONG_JOBS = 300
LONG_MILLICORES = 384_000


class RecoveryFigures(msgspec.Struct):
    """Results of ``bench recovery``, in virtual time.

    Attributes
    ----------
    outage_throughput_ratio : float
        Tasks that finish during a log outage relative to the same time
        without one, with tasks of 2,300 s on average. At the target size
        tasks run for 46,000 s, so even fewer end in ten minutes.
    outage_short_tasks : OutageRatio
        The same with a queue of one-minute tasks.
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
    """Inject each fault into a small cell, alone and in pairs."""
    violations = run_fault_matrix(deployment, seed)
    resumes_s = recovery_times.vm_death_resumes_s(deployment, seed)
    pauses_s = recovery_times.entry_death_pauses_s(deployment, seed)
    both_dead_s = recovery_times.both_dead_resume_s(deployment, seed)
    long_vms = LONG_MILLICORES // CAPACITIES[deployment].millicores
    long_tasks = recovery_times.outage_ratio(
        deployment, seed, long_vms, LONG_JOBS, LONG_TASK_S
    )
    short_tasks = recovery_times.outage_ratio(
        deployment, seed, SHORT_VMS, SHORT_JOBS, SHORT_TASK_S
    )
    return RecoveryFigures(
        violations.runs,
        violations.double_runs,
        violations.resumed_twice,
        violations.jobs_lost,
        violations.overcommitted_vms,
        violations.quota_breaches,
        violations.found,
        violations.lapsed_tasks,
        round(percentile(resumes_s, 0.99), 2),
        round(percentile(pauses_s, 0.99), 2),
        round(both_dead_s, 1),
        long_tasks.ratio,
        long_tasks,
        short_tasks,
        recovery_times.partition_double_runs(deployment, seed),
    )
