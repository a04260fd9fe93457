"""Log of long-running tasks that wait, with the reasons."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.occurrence_state import Phase

if TYPE_CHECKING:
    from yuccapoint.cell.cell_leader import CellLeader
    from yuccapoint.cell.claim_planner import ClaimPlanner
    from yuccapoint.cell.task_run import TaskRun

CHECK_INTERVAL_S = 1.0
# A task that waits for this long is logged; most start within a second.
MIN_WAIT_S = 3.0
# A task is logged again after this time.
REPEAT_INTERVAL_S = 5.0
# Limit of the lines of one check: each rates all VMs.
MAX_LINES_PER_CHECK = 2


class WaitingLog:
    """Logs how many VMs are left out for a waiting task, by reason.

    Parameters
    ----------
    leader : CellLeader
        Leader whose tasks wait.
    """

    __slots__ = ("_checked_at_s", "_leader")

    def __init__(self, leader: CellLeader) -> None:
        self._leader = leader
        self._checked_at_s = 0.0

    def run(self, planner: ClaimPlanner, now_s: float) -> None:
        """Log some tasks if the interval has passed."""
        if now_s - self._checked_at_s < CHECK_INTERVAL_S:
            return
        self._checked_at_s = now_s
        waiting = self._find_waiting(planner, now_s)
        due = [
            task
            for task in waiting
            if now_s - task.wait_logged_at_s >= REPEAT_INTERVAL_S
        ]
        due.sort(key=lambda t: (t.wait_logged_at_s, t.waiting_since_s))
        for task in due[:MAX_LINES_PER_CHECK]:
            task.wait_logged_at_s = now_s
            self._log(task, planner, len(waiting), now_s)

    def _find_waiting(
        self, planner: ClaimPlanner, now_s: float
    ) -> list[TaskRun]:
        waiting = []
        for step in planner.ready_steps(self._leader.jobs.values()):
            if not step.spec.long_running:
                continue
            for task in step.tasks:
                if task.phase is not Phase.WAITING:
                    continue
                if now_s - task.waiting_since_s < MIN_WAIT_S:
                    continue
                waiting.append(task)
        return waiting

    def _log(
        self,
        task: TaskRun,
        planner: ClaimPlanner,
        waiting_tasks: int,
        now_s: float,
    ) -> None:
        counts: dict[str, int] = {}
        for reason in planner.reasons_by_vm(task).values():
            counts[str(reason)] = counts.get(str(reason), 0) + 1
        self._leader.explain(
            "place",
            "still waits; left out VMs by reason",
            task=task.task_id,
            run=task.run,
            waited_ms=int((now_s - task.waiting_since_s) * 1000),
            retry_in_ms=int(max(0.0, task.not_before_s - now_s) * 1000),
            suspect=int(task.is_suspect),
            waiting_tasks=waiting_tasks,
            **counts,
        )
