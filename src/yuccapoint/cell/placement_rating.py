"""Costs of placements, and the VMs that trials of suspects rule out."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from yuccapoint.cell import crash_trials
from yuccapoint.cell.placement_costs import total_cost

if TYPE_CHECKING:
    from yuccapoint.cell.obstacle import Obstacle
    from yuccapoint.cell.placement_rules import PlacementRules
    from yuccapoint.cell.step_run import StepRun
    from yuccapoint.cell.task_run import TaskRun
    from yuccapoint.cell.vm_candidate import VmCandidate

# After this time a long-running task goes before suspects, and a suspect may
# share a trial. It is to run within 6 s.
TURN_WAIT_LIMIT_S = 3.0


class PlacementRating:
    """Rates VMs for the tasks of one planning round.

    Parameters
    ----------
    rules : PlacementRules
        Rules that keep a task off a VM.
    now_s : float
        Steady time in seconds.

    Attributes
    ----------
    count : int
        Ratings of a VM for a task so far.
    """

    __slots__ = ("_crowded_pools", "count", "now_s", "rules")

    def __init__(self, rules: PlacementRules, now_s: float) -> None:
        self.rules = rules
        self.now_s = now_s
        self.count = 0
        self._crowded_pools: set[str] = set()

    def note_crowded_pools(
        self,
        with_suspects: list[StepRun],
        candidates_by_pool: dict[str, list[VmCandidate]],
    ) -> None:
        """Note the pools in which trials one by one would take too long."""
        waiting: dict[str, int] = {}
        for step in with_suspects:
            if not step.spec.long_running:
                continue
            pool = step.pool
            waiting[pool] = waiting.get(pool, 0) + sum(
                task.is_suspect and self.rules.is_waiting(task)
                for task in step.tasks
            )
        for pool, count in waiting.items():
            vms = len(candidates_by_pool.get(pool, ()))
            if count > crash_trials.MAX_QUEUED_TRIALS * vms:
                self._crowded_pools.add(pool)

    def choose(
        self,
        task: TaskRun,
        candidates: list[VmCandidate],
        *,
        overcommit: bool = False,
        alone: bool = True,
    ) -> VmCandidate | None:
        """Return the cheapest VM for a task, or None if no VM can run it.

        Parameters
        ----------
        task : TaskRun
            The task.
        candidates : list of VmCandidate
            VMs in order of preference at equal cost.
        overcommit : bool
            Whether a best-effort task may slow others down.
        alone : bool
            Whether a suspect has to start alone.
        """
        best: VmCandidate | None = None
        best_cost = math.inf
        rate = self.cost if alone else self.cost_beside
        for candidate in candidates:
            cost = rate(task, candidate, overcommit=overcommit)
            if cost is not None and cost < best_cost:
                best, best_cost = candidate, cost
        return best

    def cost(
        self,
        task: TaskRun,
        candidate: VmCandidate,
        *,
        overcommit: bool = False,
    ) -> float | None:
        """Return the cost of placing a task on a VM; None if it can't."""
        if self.find_trial(task, candidate) is not None:
            self.count += 1
            return None
        return self.cost_beside(task, candidate, overcommit=overcommit)

    def find_trial(
        self, task: TaskRun, candidate: VmCandidate
    ) -> Obstacle | None:
        """Return why the start of a suspect rules out a placement, or None."""
        if (
            task.step.pool in self._crowded_pools
            and self.rules.has_waited(task, TURN_WAIT_LIMIT_S)
            and crash_trials.may_join(task, candidate)
        ):
            return None
        return crash_trials.find_obstacle(task, candidate)

    def cost_beside(
        self,
        task: TaskRun,
        candidate: VmCandidate,
        *,
        overcommit: bool = False,
    ) -> float | None:
        """Return the cost of a task beside runs that are starting."""
        self.count += 1
        obstacle = self.rules.find_obstacle(
            task, candidate, overcommit=overcommit
        )
        return None if obstacle else total_cost(task, candidate)
