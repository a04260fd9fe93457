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


def placement_policy(
    name: str,
) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Register a placement policy under the name that pools use."""

    def register(policy: PlacementPolicy) -> PlacementPolicy:
        PLACEMENT_POLICIES[name] = policy
        return policy

    return register
