"""Pools, VMs and jobs that the measurements of batch work use."""

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
RACK_SIZE = 3
ACCELERATED_EVERY = 6
ACCELERATORS = 8
CAPACITIES = {
    "caribfert": Size(64_000, 250 * GIB, 0),
    "cyfiawn": Size(16_000, 60 * GIB, 0),
}
POOL = "bench"


def make_pool(placement: str, quotas: dict[str, int] | None = None) -> Pool:
    """Give the pool under a placement policy."""
    return Pool(
        name=POOL, placement=placement, team_quota_millicores=quotas or {}
    )


def capacity_of(deployment: str, number: int) -> Size:
    """Give a VM's capacity; each sixth VM has accelerators."""
    plain = CAPACITIES[deployment]
    if number % ACCELERATED_EVERY:
        return plain
    return Size(plain.millicores, plain.memory_bytes, ACCELERATORS)


def make_report(
    vm: str,
    capacity: Size,
    free: Size,
    sequence: int,
    *,
    term: int = 1,
    wants: str = "",
    incarnation: int = 1,
    tasks: list[TaskReport] | None = None,
) -> AgentReport:
    """Give an agent's report."""
    number = int(vm.rpartition("-")[2])
    return AgentReport(
        vm=vm,
        incarnation=incarnation,
        sequence=sequence,
        term=term,
        requested_leader=wants,
        leader="",
        pool=POOL,
        data_centre=f"dc-{number % 14}",
        region=f"region-{number % 5}",
        rack=f"rack-{number // RACK_SIZE}",
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
    """Give a job of a random team, customer and size."""
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
