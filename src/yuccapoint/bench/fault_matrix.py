"""Runs the faults alone and in pairs and counts broken promises."""

from __future__ import annotations

import itertools
import random

import msgspec

from yuccapoint.bench.batch_faults import BATCH_FAULTS
from yuccapoint.bench.batch_simulation import BatchSimulation
from yuccapoint.bench.batch_workload import make_job

JOBS = 80
RUN_TIMES_S = (1.0, 4.0, 10.0, 25.0)
SETTLED_S = 4.0
STRIKE_S = 9.0
SECOND_STRIKE_S = 2.0
GIVE_UP_S = 1_300.0
QUOTA = {"team-0": 6_000, "team-7": 4_000}


class Broken(msgspec.Struct):
    """Broken promises, summed over runs.

    Attributes
    ----------
    lapsed_tasks : int
        Tasks that lost their lease; no promise, but a cost.
    """

    runs: int = 0
    double_runs: int = 0
    resumed_twice: int = 0
    jobs_lost: int = 0
    overcommitted_vms: int = 0
    quota_breaches: int = 0
    lapsed_tasks: int = 0
    found: list[str] = []

    @property
    def promises(self) -> int:
        """How many promises were broken."""
        return (
            self.double_runs
            + self.resumed_twice
            + self.jobs_lost
            + self.overcommitted_vms
            + self.quota_breaches
        )


def run_matrix(deployment: str, seed: int) -> Broken:
    """Run each fault alone and each pair of faults, once each."""
    total = Broken()
    names = sorted(BATCH_FAULTS)
    cases = [(name, name) for name in names]
    cases += itertools.combinations(names, 2)
    for number, pair in enumerate(cases):
        one = run_case(deployment, seed * 1_000 + number, pair)
        add(total, one, f"{'+'.join(pair)} seed {seed * 1_000 + number}")
    return total


def run_case(deployment: str, seed: int, faults: tuple[str, str]) -> Broken:
    """Run one pair of faults; twice the same is a fault that repeats."""
    world = BatchSimulation(deployment, seed, quotas=QUOTA)
    rng = random.Random(seed)
    world.run(SETTLED_S)
    for number in range(JOBS):
        job = make_job(number, rng, urgent=number % 8 == 0)
        run_time_s = rng.choice(RUN_TIMES_S)
        world.submit(
            msgspec.structs.replace(
                job, run_time_s=run_time_s, command=f"run_s={run_time_s}"
            )
        )
        world.run(world.now_s + 0.05)
    world.run(STRIKE_S)
    BATCH_FAULTS[faults[0]](world)
    world.run(STRIKE_S + SECOND_STRIKE_S)
    BATCH_FAULTS[faults[1]](world)
    world.run(STRIKE_S + 30.0)
    oracle = world.oracle
    world.run_until(lambda: not oracle.unfinished, GIVE_UP_S)
    return Broken(
        1,
        oracle.double_runs,
        oracle.resumed_twice,
        len(oracle.unfinished),
        oracle.overcommitted_vms,
        oracle.quota_breaches,
        sum(vm.lapsed_tasks for vm in world.vms),
    )


def add(total: Broken, one: Broken, name: str) -> None:
    """Add one run's counts and name the run if it broke a promise."""
    for field in msgspec.structs.fields(Broken):
        if field.name != "found":
            value = getattr(total, field.name) + getattr(one, field.name)
            setattr(total, field.name, value)
    if one.promises:
        total.found.append(name)
