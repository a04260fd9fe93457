"""Ranking of the VMs for the tasks of one step."""

from __future__ import annotations

from collections.abc import Callable
import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.cell.task_run import TaskRun
    from yuccapoint.cell.vm_candidate import VmCandidate


# Cost of a task on a VM; None if the VM can't run it.
CostFunction = Callable[["TaskRun", "VmCandidate"], float | None]


class StepRanking:
    """Finds the cheapest VM for each task of a step.

    The tasks of a step are alike, and a placement changes the cost of no VM
    but its own. Each VM is therefore rated once, and again only after a
    placement on it, which keeps wide steps on hundreds of VMs affordable.

    Parameters
    ----------
    cost : callable
        Cost of a task on a VM.
    task : TaskRun
        A task of the step that has not failed on any VM.
    candidates : list of VmCandidate
        VMs in order of preference at equal cost.
    """

    __slots__ = (
        "_candidates",
        "_cost",
        "_costs",
        "_heap",
        "_indexes",
        "_task",
    )

    def __init__(
        self,
        cost: CostFunction,
        task: TaskRun,
        candidates: list[VmCandidate],
    ) -> None:
        self._cost = cost
        self._task = task
        self._candidates = candidates
        self._indexes = {id(c): n for n, c in enumerate(candidates)}
        self._costs = [cost(task, candidate) for candidate in candidates]
        self._heap = [
            (rated, index)
            for index, rated in enumerate(self._costs)
            if rated is not None
        ]
        heapq.heapify(self._heap)

    def best(self) -> VmCandidate | None:
        """Return the cheapest VM, or None if no VM can run a task."""
        while self._heap:
            rated, index = self._heap[0]
            if rated == self._costs[index]:
                return self._candidates[index]
            heapq.heappop(self._heap)
        return None

    def update(self, candidate: VmCandidate) -> None:
        """Rate a VM again after a placement on it."""
        index = self._indexes[id(candidate)]
        rated = self._cost(self._task, candidate)
        self._costs[index] = rated
        if rated is not None:
            heapq.heappush(self._heap, (rated, index))
