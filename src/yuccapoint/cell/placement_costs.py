"""Registry of placement costs, which rank the VMs for a task.

A cost is in shares of a VM; the VM with the lowest sum gets the task.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.cell.task_run import TaskRun
    from yuccapoint.cell.vm_candidate import VmCandidate

PlacementCost = Callable[["TaskRun", "VmCandidate"], float]

PLACEMENT_COSTS: dict[str, PlacementCost] = {}

# Work on another rack than its data takes 1.5 times as long.
REMOTE_DATA_COST = 0.5
# A VM on which the task failed before is the last resort.
FAILED_VM_COST = 10.0
# A VM that a task was moved off is worse than any that is not full.
LEFT_VM_COST = 1.0
# A VM that is blamed for failures is worse than one on which only this task
# failed.
BLAMED_VM_COST = 2 * FAILED_VM_COST
# Weight of interference with serving tasks against the demand on a VM: a
# serving task past its target costs its users four times its share.
INTERFERENCE_WEIGHT = 4.0
# Idle processors are worth the same to best-effort work however many there
# are, while the services beside it may slow it down at any time.
BEST_EFFORT_DEMAND_EXPONENT = 3
# Gain, as a share of their processors, of placing services together that
# tolerate the same neighbours.
SIMILARITY_WEIGHT = 1.0


def placement_cost(name: str) -> Callable[[PlacementCost], PlacementCost]:
    """Register a cost under a name."""

    def register(cost: PlacementCost) -> PlacementCost:
        PLACEMENT_COSTS[name] = cost
        return cost

    return register


@placement_cost("data")
def remote_data_cost(task: TaskRun, candidate: VmCandidate) -> float:
    """Prefer the rack that holds the task's data."""
    rack = task.step.spec.rack
    return REMOTE_DATA_COST if rack and rack not in candidate.labels else 0.0


@placement_cost("failed")
def failed_vm_cost(task: TaskRun, candidate: VmCandidate) -> float:
    """Retry on other VMs: a bad VM must not use up a task's attempts."""
    return FAILED_VM_COST if candidate.ledger.name in task.failed_on else 0.0


@placement_cost("blamed")
def blamed_vm_cost(task: TaskRun, candidate: VmCandidate) -> float:
    """Use blamed VMs for long-running tasks only if no other has room.

    Tasks that end are kept off in quarantine, and test a VM on probation.
    """
    is_blamed = candidate.blame and task.step.spec.long_running
    return BLAMED_VM_COST if is_blamed else 0.0


@placement_cost("left")
def left_vm_cost(task: TaskRun, candidate: VmCandidate) -> float:
    """Keep a moved task off the VM that was too slow for it."""
    return LEFT_VM_COST if candidate.ledger.name == task.left_vm else 0.0


@placement_cost("demand")
def demand_cost(task: TaskRun, candidate: VmCandidate) -> float:
    """Spread the demand, so that all VMs have processors for a burst."""
    if not candidate.capacity.millicores:
        return 0.0
    # Serving tasks are packed, which leaves whole VMs to best-effort work.
    if task.step.spec.target_ms:
        return 0.0
    demand = candidate.demand_millicores / candidate.capacity.millicores
    if task.step.spec.best_effort:
        return demand**BEST_EFFORT_DEMAND_EXPONENT
    return demand


@placement_cost("company")
def interference_cost(task: TaskRun, candidate: VmCandidate) -> float:
    """Separate images that are known to interfere with each other."""
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
    """Pack serving tasks densely, preferably with similar ones.

    Spreading services over most VMs would starve waiting best-effort work:
    it gets a quarter of a VM beside a service, and all of a VM without one.
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
    """Return the sum of all registered costs."""
    return sum(cost(task, candidate) for cost in PLACEMENT_COSTS.values())
