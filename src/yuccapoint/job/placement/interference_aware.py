"""Placement by what a job is expected to cost the services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.job.placement.registry import placement_policy

if TYPE_CHECKING:
    import random

    from yuccapoint.job.job import Job
    from yuccapoint.job.vm_view import VmView

TOLERATED_SLOWDOWN = 0.15
COST_ROUNDING_STEP = 0.05


@placement_policy("interference-aware")
def choose_interference_aware(
    job: Job, vms: list[VmView], rng: random.Random
) -> VmView | None:
    """Take the VM whose service the job slows least beyond what is free.

    Among equals: keep accelerators whole, then take the VM that the job
    leaves with the least room.
    """
    del rng
    wasted = job.size.accelerators == 0
    return min(
        vms,
        key=lambda vm: (
            round(added_cost(job, vm) / COST_ROUNDING_STEP),
            wasted and vm.capacity.accelerators > 0,
            vm.free.millicores,
            vm.vm,
        ),
        default=None,
    )


def added_cost(job: Job, vm: VmView) -> float:
    """Slowdown beyond the free part that the job adds on a VM."""
    pairs = vm.pairs
    if pairs is None:
        return 0.0
    before = 0.0
    for job_class in vm.batch_classes:
        before += pairs.expected(vm.service, job_class)
    after = before + pairs.expected(vm.service, job.job_class)
    return max(0.0, after - TOLERATED_SLOWDOWN) - max(
        0.0, before - TOLERATED_SLOWDOWN
    )
