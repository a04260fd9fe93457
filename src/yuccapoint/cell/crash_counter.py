"""Counting of crashes of workers by task, by the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.occurrence_state import Outcome
from yuccapoint.cell.occurrence_state import Phase

if TYPE_CHECKING:
    from yuccapoint.cell.cell_leader import CellLeader
    from yuccapoint.cell.crash_messages import CrashReport
    from yuccapoint.cell.crash_messages import CrashSuspect
    from yuccapoint.cell.task_run import TaskRun

# If all suspects of a crash belong to one occurrence, it is given up after
# this many crashes of workers that are known to have started the same task.
MAX_KNOWN_CRASHES = 2
# The same with workers that may have crashed before the start arrived.
MAX_CRASHES_ALONE = 3
# It is given up in any case after this many, doubtful or not.
MAX_CRASHES = 4


class CrashCounter:
    """Gives up tasks that crash the workers that start them.

    Parameters
    ----------
    leader : CellLeader
        Leader whose tasks are counted.
    """

    __slots__ = ("_leader",)

    def __init__(self, leader: CellLeader) -> None:
        self._leader = leader

    def apply(self, report: CrashReport, now_s: float) -> bool:
        """Apply a report, repeated or not; return whether it tells new."""
        has_new = False
        for task_id, run in report.proven:
            task = self._leader.find_task(task_id)
            if task is not None and task.crashes.note_proven(run):
                self._explain_proven(task, run, report.vm)
                has_new = True
        for suspects in report.crashes:
            alone = len({_occurrence_of(s) for s in suspects}) == 1
            for suspect in suspects:
                task = self._leader.find_task(suspect.task_id)
                if task is None or not _count(task, suspect):
                    continue
                has_new = True
                self._explain_crash(task, suspect, report.vm, alone=alone)
                if _is_hopeless(task, alone=alone):
                    self._give_up(task, now_s)
        return has_new

    def _explain_proven(self, task: TaskRun, run: int, vm: str) -> None:
        self._leader.mark_dirty(task.step.occurrence)
        self._leader.explain(
            "run",
            "did not crash its worker; no longer suspected",
            task=task.task_id,
            run=run,
            vm=vm,
        )

    def _explain_crash(
        self, task: TaskRun, suspect: CrashSuspect, vm: str, *, alone: bool
    ) -> None:
        self._leader.mark_dirty(task.step.occurrence)
        self._leader.explain(
            "run",
            "may have crashed its worker; the task will start alone",
            task=suspect.task_id,
            run=suspect.run,
            vm=vm,
            started=int(suspect.started),
            doubtful=int(suspect.doubtful),
            crashes=len(task.crashes.runs),
            known_crashes=task.crashes.known,
            doubtful_crashes=task.crashes.doubtful,
            alone=int(alone),
        )

    def _give_up(self, task: TaskRun, now_s: float) -> None:
        occurrence = task.step.occurrence
        if occurrence.outcome is not Outcome.OPEN:
            return
        self._leader.explain(
            "job",
            "given up, as a task crashes the workers that start it",
            job=occurrence.job.submission.job_id,
            task=task.task_id,
            crashes=len(task.crashes.runs),
            known_crashes=task.crashes.known,
        )
        self._leader.end_occurrence(occurrence, Outcome.FAILED, now_s)


def _occurrence_of(suspect: CrashSuspect) -> str:
    return suspect.task_id.rsplit(".", 2)[0]


def _count(task: TaskRun, suspect: CrashSuspect) -> bool:
    """Return whether a crash counts that was not counted before."""
    if task.phase is Phase.DONE or suspect.run > task.run:
        return False
    return task.crashes.note_crash(
        suspect.run, started=suspect.started, doubtful=suspect.doubtful
    )


def _is_hopeless(task: TaskRun, *, alone: bool) -> bool:
    crashes = len(task.crashes.runs)
    if crashes >= MAX_CRASHES:
        return True
    if not alone:
        return False
    if task.crashes.known >= MAX_KNOWN_CRASHES:
        return True
    return crashes - task.crashes.doubtful >= MAX_CRASHES_ALONE
