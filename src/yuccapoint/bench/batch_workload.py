"""Pool, VMs and jobs used by the batch benchmarks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.connection.messages import AgentReport
from yuccapoint.job.job import Job
from yuccapoint.job.size import Size
from yuccapoint.version.pool import Pool

if TYPE_CHECKING:
    import random

    from yuccapoint.connection.messages import TaskReport

GIB = 1 << 30
TEAMS = 800
VMS_PER_RACK = 3
ACCELERATED_VM_INTERVAL = 6
ACCELERATORS_PER_VM = 8
CAPACITIES = {
    "caribfert": Size(64_000, 250 * GIB, 0),
    "cyfiawn": Size(16_000, 60 * GIB, 0),
}
POOL = "bench"


def make_pool(placement: str, quotas: dict[str, int] | None = None) -> Pool:
    """Return the pool with a placement policy and team quotas."""
    return Pool(
        name=POOL, placement=placement, team_quota_millicores=quotas or {}
    )


def capacity_of(deployment: str, number: int) -> Size:
    """Return the capacity of a VM; every sixth VM has accelerators."""
    capacity = CAPACITIES[deployment]
    if number % ACCELERATED_VM_INTERVAL:
        return capacity
    return Size(
        capacity.millicores, capacity.memory_bytes, ACCELERATORS_PER_VM
    )


def make_report(
    vm: str,
    capacity: Size,
    free: Size,
    sequence: int,
    *,
    term: int = 1,
    requested_leader: str = "",
    incarnation: int = 1,
    tasks: list[TaskReport] | None = None,
) -> AgentReport:
    """Return the report of an agent."""
    number = int(vm.rpartition("-")[2])
    return AgentReport(
        vm=vm,
        incarnation=incarnation,
        sequence=sequence,
        term=term,
        requested_leader=requested_leader,
        leader="",
        pool=POOL,
        data_centre=f"dc-{number % 14}",
        region=f"region-{number % 5}",
        rack=f"rack-{number // VMS_PER_RACK}",
        control_address=vm,
        session_address=vm,
        capacity=capacity,
        free=free,
        ready=True,
        stopping=False,
        tables_version=0,
        endpoints=[],
        tasks=tasks or [],
    )


def make_job(number: int, rng: random.Random, *, urgent: bool = False) -> Job:
    """Return a job with a random team, customer and size."""
    team = int(TEAMS * rng.random() ** 2)
    accelerators = rng.choice((1, 1, 2, 4)) if rng.random() < 0.1 else 0
    run_time_s = rng.choice((2.0, 5.0, 15.0, 40.0, 120.0))
    return Job(
        job_id=f"job-{number}",
        team=f"team-{team}",
        customer=f"customer-{rng.randrange(5)}",
        job_class=f"class-{rng.randrange(20)}",
        pool=POOL,
        size=Size(
            rng.choice((250, 500, 1_000, 2_000, 4_000)),
            rng.choice((1, 2, 4, 8)) * GIB,
            accelerators,
        ),
        run_time_s=run_time_s,
        urgent=urgent,
        command=f"run_s={run_time_s}",
    )
