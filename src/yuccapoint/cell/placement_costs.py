"""The registry of placement costs: what makes a VM worse for a task.

A cost is in shares of a VM; the VM with the lowest sum gets the task.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.cell.job_run import TaskRun
    from yuccapoint.cell.vm_candidate import VmCandidate

PlacementCost = Callable[["TaskRun", "VmCandidate"], float]

PLACEMENT_COSTS: dict[str, PlacementCost] = {}

# Work far from its data takes half as long again.
REMOTE_DATA_COST = 0.5
# A VM on which the task failed is the last resort.
FAILED_VM_COST = 10.0
# Weight of the disturbance of serving work against the demand on a VM: a
# serving task past its target costs its users four times its share.
INTERFERENCE_WEIGHT = 4.0
# What it is worth, as a share of their processors, that services which bear
# the same neighbours run together.
SIMILARITY_WEIGHT = 1.0


def placement_cost(name: str) -> Callable[[PlacementCost], PlacementCost]:
    """Register a cost under a name."""

    def register(cost: PlacementCost) -> PlacementCost:
        PLACEMENT_COSTS[name] = cost
        return cost

    return register


@placement_cost("data")
def remote_data_cost(task: TaskRun, candidate: VmCandidate) -> float:
    """Keep tasks on the rack of their data."""
    rack = task.step.spec.rack
    return REMOTE_DATA_COST if rack and rack not in candidate.labels else 0.0


@placement_cost("failed")
def failed_vm_cost(task: TaskRun, candidate: VmCandidate) -> float:
    """Retry elsewhere: a bad VM must not use up a task's attempts."""
    return FAILED_VM_COST if candidate.ledger.name in task.failed_on else 0.0


@placement_cost("demand")
def demand_cost(task: TaskRun, candidate: VmCandidate) -> float:
    """Spread the demand, so that a burst finds processors on all VMs."""
    if not candidate.capacity.millicores:
        return 0.0
    # Serving tasks keep together, which leaves whole VMs to filling work.
    if task.step.spec.target_ms:
        return 0.0
    return candidate.demand_millicores / candidate.capacity.millicores


@placement_cost("company")
def interference_cost(task: TaskRun, candidate: VmCandidate) -> float:
    """Keep images apart that disturb each other, as far as is known."""
    spec = task.step.spec
    if spec.best_effort:
        share = candidate.neighbour_units(spec)
        return INTERFERENCE_WEIGHT * max(
            (
                candidate.added_load(image)
                + share
                * candidate.interference.expected_load(image, spec.image)
                for image in candidate.serving_images
            ),
            default=0.0,
        )
    if not spec.target_ms:
        return 0.0
    return INTERFERENCE_WEIGHT * candidate.added_load(spec.image)


@placement_cost("together")
def packing_cost(task: TaskRun, candidate: VmCandidate) -> float:
    """Pack serving tasks densely, best beside those like them.

    Answers services on most VMs with much filling work waiting: beside a
    service it gets a quarter of a VM, on a VM without one all of it.
    """
    spec = task.step.spec
    if not spec.target_ms or not candidate.capacity.millicores:
        return 0.0
    gain = 0.0
    for image, millicores in candidate.serving_images.items():
        alike = candidate.interference.similarity(spec.image, image)
        gain += (1.0 + SIMILARITY_WEIGHT * alike) * millicores
    return -gain / candidate.capacity.millicores


def total_cost(task: TaskRun, candidate: VmCandidate) -> float:
    """Sum all registered costs."""
    return sum(cost(task, candidate) for cost in PLACEMENT_COSTS.values())
