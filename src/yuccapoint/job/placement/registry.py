"""The registry of placement policies."""

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
    name: str, *, tight: bool = False
) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Register a placement policy under the name that pools use.

    A tight policy is offered the VMs with the least room that suffices,
    any other a random sample of those with room.
    """

    def register(policy: PlacementPolicy) -> PlacementPolicy:
        PLACEMENT_POLICIES[name] = policy
        if tight:
            PACKING_POLICIES.add(name)
        return policy

    return register
