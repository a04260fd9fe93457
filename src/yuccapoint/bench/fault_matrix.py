"""Runs the faults alone and in pairs and counts violated guarantees."""

from __future__ import annotations

import itertools
import random

import msgspec

from yuccapoint.bench.batch_faults import BATCH_FAULTS
from yuccapoint.bench.batch_simulation import BatchSimulation
from yuccapoint.bench.batch_workload import make_job

JOB_COUNT = 80
RUN_TIMES_S = (1.0, 4.0, 10.0, 25.0)
FIRST_SUBMIT_S = 4.0
FIRST_FAULT_S = 9.0
SECOND_FAULT_DELAY_S = 2.0
RUN_TIMEOUT_S = 1_300.0
TEAM_QUOTAS_MILLICORES = {"team-0": 6_000, "team-7": 4_000}


class GuaranteeViolations(msgspec.Struct):
    """Violations of the guarantees, summed over runs.

    Attributes
    ----------
    lapsed_tasks : int
        Tasks whose lease lapsed: a cost, not a violation.
    found : list of str
        Faults and seed of each run that violated a guarantee.
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
    def violation_count(self) -> int:
        """Number of violations of all guarantees."""
        return (
            self.double_runs
            + self.resumed_twice
            + self.jobs_lost
            + self.overcommitted_vms
            + self.quota_breaches
        )


def run_fault_matrix(deployment: str, seed: int) -> GuaranteeViolations:
    """Run each fault twice in a row and each pair of faults, once each."""
    total = GuaranteeViolations()
    names = sorted(BATCH_FAULTS)
    pairs = [(name, name) for name in names]
    pairs += itertools.combinations(names, 2)
    for number, pair in enumerate(pairs):
        run = run_fault_pair(deployment, seed * 1_000 + number, pair)
        add_run(total, run, f"{'+'.join(pair)} seed {seed * 1_000 + number}")
    return total


def run_fault_pair(
    deployment: str, seed: int, faults: tuple[str, str]
) -> GuaranteeViolations:
    """Run one pair of faults; a pair of the same fault repeats it."""
    simulation = BatchSimulation(
        deployment, seed, quotas=TEAM_QUOTAS_MILLICORES
    )
    rng = random.Random(seed)
    simulation.run(FIRST_SUBMIT_S)
    for number in range(JOB_COUNT):
        job = make_job(number, rng, urgent=number % 8 == 0)
        run_time_s = rng.choice(RUN_TIMES_S)
        simulation.submit(
            msgspec.structs.replace(
                job, run_time_s=run_time_s, command=f"run_s={run_time_s}"
            )
        )
        simulation.run(simulation.now_s + 0.05)
    simulation.run(FIRST_FAULT_S)
    BATCH_FAULTS[faults[0]](simulation)
    simulation.run(FIRST_FAULT_S + SECOND_FAULT_DELAY_S)
    BATCH_FAULTS[faults[1]](simulation)
    simulation.run(FIRST_FAULT_S + 30.0)
    oracle = simulation.oracle
    simulation.run_until(lambda: not oracle.unfinished, RUN_TIMEOUT_S)
    return GuaranteeViolations(
        1,
        oracle.double_runs,
        oracle.resumed_twice,
        len(oracle.unfinished),
        oracle.overcommitted_vms,
        oracle.quota_breaches,
        sum(vm.lapsed_tasks for vm in simulation.vms),
    )


def add_run(
    total: GuaranteeViolations, run: GuaranteeViolations, name: str
) -> None:
    """Add the counts of a run and list the run if it has a violation."""
    for field in msgspec.structs.fields(GuaranteeViolations):
        if field.name != "found":
            value = getattr(total, field.name) + getattr(run, field.name)
            setattr(total, field.name, value)
    if run.violation_count:
        total.found.append(name)
