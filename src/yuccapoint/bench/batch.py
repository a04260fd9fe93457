"""Benchmark ``batch``: placement, job starts, log load and state rebuild."""

from __future__ import annotations

import gc

import msgspec

from yuccapoint.bench.placement_cost import PlacementCost
from yuccapoint.bench.policy_runs import PolicyFigures
from yuccapoint.bench.policy_runs import run_policies
from yuccapoint.bench.rebuild_cost import measure_rebuild
from yuccapoint.bench.registry import bench
from yuccapoint.bench.urgent_starts import UrgentFigures
from yuccapoint.bench.urgent_starts import UrgentStarts
from yuccapoint.connection.log_writer import MAX_BATCH_RECORDS
from yuccapoint.job import lease_rules

VM_COUNTS = (100, 1_000, 23_000)
QUEUED_JOBS = 30_000
LONG_QUEUE_JOBS = 100_000
ENTRY_COUNT = 16
VM_COUNT = 23_000
TASK_COUNT = 170_000


class LeaseFigures(msgspec.Struct):
    """Log appends per second to renew all leases at the target size.

    Attributes
    ----------
    two_levels_per_s : float
        Entries renew their leases in the log, agents with an entry.
    one_level_by_vm_per_s : float
        Each agent renews the lease of its VM in the log.
    log_by_task_per_s : float
        Entries renew the lease of each task in the log, batched into
        appends of the maximum size.
    """

    two_levels_per_s: float
    one_level_by_vm_per_s: float
    log_by_task_per_s: float


class BatchFigures(msgspec.Struct):
    """Results of ``bench batch``."""

    urgent: UrgentFigures
    urgent_start_p99_s: float
    appends_per_s: float
    bytes_per_job: float
    placement_us: dict[str, float]
    placement_growth: float
    decisions_per_s_one_core: int
    rebuild_s: float
    resident_bytes: int
    policies: dict[str, PolicyFigures]
    leases: LeaseFigures


@bench("batch")
def measure(deployment: str, seed: int) -> BatchFigures:
    """Measure the cost of scheduling and the start latency of jobs."""
    rebuild_s, resident_bytes = measure_rebuild(seed)
    costs_us = {}
    for vms in VM_COUNTS:
        cost = _measure_placement(deployment, seed, vms, QUEUED_JOBS)
        costs_us[str(vms)] = round(cost.place_s / cost.decisions * 1e6, 1)
    growth = costs_us[str(VM_COUNTS[-1])] / costs_us[str(VM_COUNTS[0])]
    cost = _measure_placement(deployment, seed, VM_COUNT, LONG_QUEUE_JOBS)
    urgent = UrgentStarts(deployment, seed).run()
    return BatchFigures(
        urgent,
        urgent.urgent_start_p99_s,
        urgent.appends_per_s,
        urgent.bytes_per_job,
        costs_us,
        round(growth, 2),
        int(cost.decisions / cost.total_s),
        round(rebuild_s, 2),
        resident_bytes,
        run_policies(deployment, seed),
        _lease_figures(),
    )


def _measure_placement(
    deployment: str, seed: int, vms: int, queued: int
) -> PlacementCost:
    cost = PlacementCost(deployment, seed, vms, queued=queued)
    gc.collect()
    cost.run()
    return cost


def _lease_figures() -> LeaseFigures:
    renew_interval_s = lease_rules.VM_LEASE_S / 2
    return LeaseFigures(
        round(ENTRY_COUNT / lease_rules.RENEW_INTERVAL_S, 2),
        round(VM_COUNT / renew_interval_s, 1),
        round(TASK_COUNT / renew_interval_s / MAX_BATCH_RECORDS, 1),
    )
