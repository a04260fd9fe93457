"""Registry of placement policies."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from yuccapoint.job.job import Job
    from yuccapoint.job.vm_view import VmView

PlacementPolicy = Callable[
    ["Job", "list[VmView]", "random.Random"], "VmView | None"
]

PLACEMENT_POLICIES: dict[str, PlacementPolicy] = {}
PACKING_POLICIES: set[str] = set()


def placement_policy(
    name: str, *, packing: bool = False
) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Register a placement policy under the name used in pools.

    A packing policy chooses among the VMs with the least free capacity
    that fits the job, any other among a random sample of those that fit.
    """

    def register(policy: PlacementPolicy) -> PlacementPolicy:
        PLACEMENT_POLICIES[name] = policy
        if packing:
            PACKING_POLICIES.add(name)
        return policy

    return register
