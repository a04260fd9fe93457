"""The registry of placement costs: what makes a VM worse for a task.

A cost is in shares of a VM; the VM with the lowest sum gets the task.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.cell.job_run import TaskRun
    from yuccapoint.cell.vm_room import VmRoom

PlacementCost = Callable[["TaskRun", "VmRoom"], float]

PLACEMENT_COSTS: dict[str, PlacementCost] = {}

# Work far from its data takes half as long again.
FAR_FROM_DATA = 0.5
# A VM on which the task failed is the last resort.
FAILED_HERE = 10.0
# Weight of the disturbance of serving work against the demand on a VM: a
# serving task past its target costs its users four times its share.
DISTURBS_SERVING = 4.0
# What it is worth, as a share of their processors, that services which bear
# the same neighbours run together.
LIKE_GAIN = 1.0


def placement_cost(name: str) -> Callable[[PlacementCost], PlacementCost]:
    """Register a cost under a name."""

    def register(cost: PlacementCost) -> PlacementCost:
        PLACEMENT_COSTS[name] = cost
        return cost

    return register


@placement_cost("data")
def far_from_data(task: TaskRun, room: VmRoom) -> float:
    """Keep tasks on the rack of their data."""
    rack = task.step.spec.rack
    return FAR_FROM_DATA if rack and rack not in room.labels else 0.0


@placement_cost("failed")
def failed_here(task: TaskRun, room: VmRoom) -> float:
    """Retry elsewhere: a bad VM must not use up a task's attempts."""
    return FAILED_HERE if room.ledger.name in task.failed_on else 0.0


@placement_cost("demand")
def demand(task: TaskRun, room: VmRoom) -> float:
    """Spread the demand, so that a burst finds processors on all VMs."""
    if not room.capacity.millicores:
        return 0.0
    # Serving tasks keep together, which leaves whole VMs to filling work.
    if task.step.spec.target_ms:
        return 0.0
    return room.demand_millicores / room.capacity.millicores


@placement_cost("company")
def company(task: TaskRun, room: VmRoom) -> float:
    """Keep images apart that disturb each other, as far as is known."""
    spec = task.step.spec
    if spec.filling:
        share = room.share_of(spec)
        return DISTURBS_SERVING * max(
            (
                room.disturbance(image)
                + share * room.disturbances.expected(image, spec.image)
                for image in room.serving_images
            ),
            default=0.0,
        )
    if not spec.target_ms:
        return 0.0
    return DISTURBS_SERVING * room.disturbance(spec.image)


@placement_cost("together")
def together(task: TaskRun, room: VmRoom) -> float:
    """Pack serving tasks densely, best beside those like them.

    Answers services on most VMs with much filling work waiting: beside a
    service it gets a quarter of a VM, on a VM without one all of it.
    """
    spec = task.step.spec
    if not spec.target_ms or not room.capacity.millicores:
        return 0.0
    gain = 0.0
    for image, millicores in room.serving_images.items():
        alike = room.disturbances.likeness(spec.image, image)
        gain += (1.0 + LIKE_GAIN * alike) * millicores
    return -gain / room.capacity.millicores


def total_cost(task: TaskRun, room: VmRoom) -> float:
    """Sum all registered costs."""
    return sum(cost(task, room) for cost in PLACEMENT_COSTS.values())
