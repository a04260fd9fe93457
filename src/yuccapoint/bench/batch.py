"""Bench ``batch``: decisions, starts, the log's load and a rebuild."""

from __future__ import annotations

import gc

import msgspec

from yuccapoint.bench.placement_cost import PlacementCost
from yuccapoint.bench.policy_runs import PolicyFigures
from yuccapoint.bench.policy_runs import run_policies
from yuccapoint.bench.rebuild_cost import rebuild
from yuccapoint.bench.registry import bench
from yuccapoint.bench.urgent_starts import UrgentFigures
from yuccapoint.bench.urgent_starts import UrgentStarts
from yuccapoint.connection.log_writer import MAX_BATCH_RECORDS
from yuccapoint.job import lease_rules

VM_COUNTS = (100, 1_000, 23_000)
QUEUED = 30_000
LONG_QUEUE = 100_000
ENTRIES = 16
VMS = 23_000
TASKS = 170_000


class LeaseFigures(msgspec.Struct):
    """Appends a second that keep all leases alive at the letter's size.

    Attributes
    ----------
    two_levels_per_s : float
        Entries renew in the log, agents at entries.
    one_level_by_vm_per_s : float
        Each agent renews its VM's lease in the log.
    log_by_task_per_s : float
        Entries renew each task's lease in the log, in full appends.
    """

    two_levels_per_s: float
    one_level_by_vm_per_s: float
    log_by_task_per_s: float


class BatchFigures(msgspec.Struct):
    """What ``bench batch`` measures."""

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
    """Measure what an entry spends and how soon work starts."""
    rebuild_s, resident_bytes = rebuild(seed)
    costs_us = {}
    for vms in VM_COUNTS:
        cost = _cost(deployment, seed, vms, QUEUED)
        costs_us[str(vms)] = round(cost.place_s / cost.decisions * 1e6, 1)
    growth = costs_us[str(VM_COUNTS[-1])] / costs_us[str(VM_COUNTS[0])]
    cost = _cost(deployment, seed, VMS, LONG_QUEUE)
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
        _leases(),
    )


def _cost(deployment: str, seed: int, vms: int, queued: int) -> PlacementCost:
    cost = PlacementCost(deployment, seed, vms, queued=queued)
    gc.collect()
    cost.run()
    return cost


def _leases() -> LeaseFigures:
    renew_s = lease_rules.VM_LEASE_S / 2
    return LeaseFigures(
        round(ENTRIES / lease_rules.RENEW_INTERVAL_S, 2),
        round(VMS / renew_s, 1),
        round(TASKS / renew_s / MAX_BATCH_RECORDS, 1),
    )
