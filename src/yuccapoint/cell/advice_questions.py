"""What the leader asks the adviser, and what follows from its answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.advice_book import step_id

if TYPE_CHECKING:
    from yuccapoint.cell.cell_leader import CellLeader
    from yuccapoint.cell.job_run import StepRun
    from yuccapoint.cell.progress import WorkerLife


class AdviceQuestions:
    """Chooses steps and workers to ask the adviser about.

    Parameters
    ----------
    leader : CellLeader
        Whose steps wait for permission.
    """

    __slots__ = ("_leader",)

    def __init__(self, leader: CellLeader) -> None:
        self._leader = leader

    def next_question(
        self, now_s: float, wall_ms: int
    ) -> tuple[StepRun, list[WorkerLife]] | None:
        """Give the next step to ask the adviser about, and the workers."""
        advised = [
            job
            for job in self._leader.jobs.values()
            if job.submission.queue.advice_valid_ms
        ]
        if not advised:
            return None
        for step in self._leader.planner(now_s, wall_ms).ready_steps(advised):
            queue = step.occurrence.job.submission.queue
            vms = [
                vm
                for vm in self._leader.vms.values()
                if vm.worker is not None
                and vm.worker.pool == queue.pool
                and vm.is_open(now_s)
            ]
            vms.sort(key=lambda vm: -vm.room.millicores)
            lives = [vm.life for vm in vms if vm.life is not None]
            asked = self._leader.advice.to_ask(step, lives, now_s)
            if asked:
                self._leader.advice.note_asked(step, asked, now_s)
                return step, asked
        return None

    def on_advice(
        self,
        step: StepRun,
        asked: list[WorkerLife],
        tickets: dict[str, str] | None,
        now_s: float,
    ) -> None:
        """Take the adviser's answer: tickets by worker id, None if lost.

        ``now_s`` is when the question was sent.
        """
        if tickets is None:
            self._leader.advice.forget_asking(step)
            return
        valid_ms = step.occurrence.job.submission.queue.advice_valid_ms
        for life in asked:
            text = tickets.get(life.worker_id)
            if text is not None:
                until_s = now_s + valid_ms / 1000
                self._leader.advice.note(step, life, text, until_s)
        self._leader.explain(
            "place",
            "advised",
            step=step_id(step),
            asked=len(asked),
            allowed=len(tickets),
        )
