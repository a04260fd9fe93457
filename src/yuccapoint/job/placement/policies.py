"""Placement policies that ignore interference.

Each policy gets only VMs with enough free capacity for the job.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.job.placement.registry import placement_policy

if TYPE_CHECKING:
    import random

    from yuccapoint.job.job import Job
    from yuccapoint.job.vm_view import VmView


@placement_policy("random")
def choose_random(
    job: Job, vms: list[VmView], rng: random.Random
) -> VmView | None:
    """Choose a random VM."""
    del job
    return rng.choice(vms) if vms else None


@placement_policy("first-fit")
def choose_first_fit(
    job: Job, vms: list[VmView], rng: random.Random
) -> VmView | None:
    """Choose the first VM by name."""
    del job, rng
    return min(vms, key=lambda vm: vm.vm, default=None)


@placement_policy("best-fit", packing=True)
def choose_best_fit(
    job: Job, vms: list[VmView], rng: random.Random
) -> VmView | None:
    """Choose the VM with the least free processors."""
    del job, rng
    return min(vms, key=lambda vm: (vm.free.millicores, vm.vm), default=None)


@placement_policy("spread")
def choose_spread(
    job: Job, vms: list[VmView], rng: random.Random
) -> VmView | None:
    """Choose the VM with the fewest attempts, then most free processors.

    VMs without accelerators are preferred, unless the job needs some.
    """
    del rng
    avoids_accelerators = job.size.accelerators == 0
    return min(
        vms,
        key=lambda vm: (
            avoids_accelerators and vm.capacity.accelerators > 0,
            len(vm.reported_attempts),
            -vm.free.millicores,
            vm.vm,
        ),
        default=None,
    )
