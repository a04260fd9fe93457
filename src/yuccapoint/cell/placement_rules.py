"""Rules that keep a task off a VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.obstacle import Obstacle
from yuccapoint.cell.occurrence_state import Phase

if TYPE_CHECKING:
    from yuccapoint.cell.step_run import StepRun
    from yuccapoint.cell.task_run import TaskRun
    from yuccapoint.cell.ticket_cache import TicketCache
    from yuccapoint.cell.vm_candidate import VmCandidate

# A long-running task that waits for this long may start on VMs that are
# blamed for failures, if no other has room. It is to run within 6 s.
BLAME_WAIT_LIMIT_S = 4.0


class PlacementRules:
    """Tells why a VM can't run a task, runs that start aside.

    Parameters
    ----------
    ticket_cache : TicketCache
        Tickets for steps of queues that have an adviser.
    now_s : float
        Steady time in seconds.
    """

    __slots__ = ("_now_s", "_overdue_steps", "_ticket_cache")

    def __init__(self, ticket_cache: TicketCache, now_s: float) -> None:
        self._ticket_cache = ticket_cache
        self._now_s = now_s
        # Whether a task of a step, by its identity, has waited for too long.
        self._overdue_steps: dict[int, bool] = {}

    def is_waiting(self, task: TaskRun) -> bool:
        """Return whether a task waits and may be started now."""
        if task.phase is not Phase.WAITING:
            return False
        return task.not_before_s <= self._now_s

    def has_waited(self, task: TaskRun, limit_s: float) -> bool:
        """Return whether a long-running task has waited for some time."""
        if not task.step.spec.long_running or not self.is_waiting(task):
            return False
        return self._now_s - task.waiting_since_s >= limit_s

    def find_obstacle(
        self,
        task: TaskRun,
        candidate: VmCandidate,
        *,
        overcommit: bool = False,
    ) -> Obstacle | None:
        """Return why a VM can't run a task, runs that start aside."""
        spec = task.step.spec
        misfit = candidate.find_misfit(spec)
        if misfit is not None:
            return misfit
        count = candidate.step_counts.get(id(task.step), 0)
        if spec.max_per_vm and count >= spec.max_per_vm:
            return Obstacle.MAX_PER_VM
        if (
            spec.best_effort
            and not overcommit
            and candidate.would_overload(spec)
        ):
            return Obstacle.OVERLOAD
        if candidate.blame and self._keeps_off(task, candidate):
            return candidate.blame
        instance = candidate.ledger.instance
        if instance is None:
            return Obstacle.NO_WORKER
        if not self._ticket_cache.allows(task.step, instance, self._now_s):
            return Obstacle.NO_TICKET
        return None

    def _keeps_off(self, task: TaskRun, candidate: VmCandidate) -> bool:
        """Return whether the blame for failures keeps a task off a VM.

        On probation a VM gets one run that ends.
        """
        if not task.step.spec.long_running:
            on_probation = candidate.blame is Obstacle.PROBATION
            return not on_probation or bool(candidate.step_counts)
        return not self._is_overdue(task.step)

    def _is_overdue(self, step: StepRun) -> bool:
        """Return whether a task of a step has waited for too long.

        The waits of all tasks of a step count together, as its tasks are
        placed alike. The result is kept for the round, as each task is rated
        on each VM.
        """
        overdue = self._overdue_steps.get(id(step))
        if overdue is None:
            overdue = any(
                self.has_waited(task, BLAME_WAIT_LIMIT_S)
                for task in step.tasks
            )
            self._overdue_steps[id(step)] = overdue
        return overdue
