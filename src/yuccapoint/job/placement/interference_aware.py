"""Placement by the expected slowdown of services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.job.placement.registry import placement_policy

if TYPE_CHECKING:
    import random

    from yuccapoint.job.job import Job
    from yuccapoint.job.vm_view import VmView

TOLERATED_SLOWDOWN = 0.15  # total batch slowdown per VM without a cost
COST_ROUNDING_STEP = 0.05  # smaller differences count as equal


@placement_policy("interference-aware")
def choose_interference_aware(
    job: Job, vms: list[VmView], rng: random.Random
) -> VmView | None:
    """Choose the VM on which the job adds the least untolerated slowdown.

    Ties go to VMs without accelerators, unless the job needs some, then to
    the VM with the least free processors.
    """
    del rng
    avoids_accelerators = job.size.accelerators == 0
    return min(
        vms,
        key=lambda vm: (
            round(added_cost(job, vm) / COST_ROUNDING_STEP),
            avoids_accelerators and vm.capacity.accelerators > 0,
            vm.free.millicores,
            vm.vm,
        ),
        default=None,
    )


def added_cost(job: Job, vm: VmView) -> float:
    """Return the slowdown above the tolerated one that the job adds."""
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
