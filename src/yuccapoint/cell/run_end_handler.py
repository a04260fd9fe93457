"""Handling of ended, refused and abandoned runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.blame import counts_against_vm
from yuccapoint.cell.blame import next_retry_factor
from yuccapoint.cell.cell_messages import REASON_NO_ROOM
from yuccapoint.cell.cell_messages import REASON_UNREACHABLE
from yuccapoint.cell.occurrence_state import Outcome
from yuccapoint.cell.occurrence_state import Phase

if TYPE_CHECKING:
    from yuccapoint.cell.cell_leader import CellLeader
    from yuccapoint.cell.cell_messages import EndedRun
    from yuccapoint.cell.cell_messages import RefusedRun
    from yuccapoint.cell.task_run import TaskRun
    from yuccapoint.cell.vm_ledger import VmLedger

# Delay before a failed task is retried. It keeps a worker that fails every
# task at once from using up all attempts in a moment.
RETRY_DELAY_S = 0.1
# A VM that refused a run for lack of room, or as its worker does not answer,
# gets no work for this time; the next report corrects its ledger.
NO_ROOM_PAUSE_S = 0.5


class RunEndHandler:
    """Applies ended, refused and abandoned runs to the leader's state.

    Parameters
    ----------
    leader : CellLeader
        Leader whose jobs and VMs are updated.
    """

    __slots__ = ("_leader",)

    def __init__(self, leader: CellLeader) -> None:
        self._leader = leader

    def on_ended(self, vm: VmLedger, ended: EndedRun, now_s: float) -> None:
        """Apply an end that the worker listed."""
        if ended.number <= vm.applied_end_number:
            return
        vm.applied_end_number = ended.number
        vm.note_outcome(ended.task_id, ended.run)
        task = vm.claims.get(ended.task_id)
        if (
            task is None
            or task.run != ended.run
            or task.instance != vm.instance
        ):
            if ended.how == "done" and self._finish_abandoned(
                vm, ended, now_s
            ):
                return
            self._explain_ignored(vm, ended)
            return
        del vm.claims[ended.task_id]
        task.step.occurrence.begun = True
        self._leader.explain(
            "run",
            f"ended {ended.how}",
            task=ended.task_id,
            run=ended.run,
            vm=vm.name,
        )
        if ended.how in ("done", "failed"):
            task.crashes.note_proven(ended.run)
        if ended.how == "done":
            self._finish(vm, task, now_s)
            return
        if ended.how == "failed":
            self._fail(vm, task, ended.checkpoint, now_s)
            return
        self._requeue(task, ended.checkpoint, now_s)

    def _explain_ignored(self, vm: VmLedger, ended: EndedRun) -> None:
        task = self._leader.find_task(ended.task_id)
        self._leader.explain(
            "run",
            "ignored the end of an abandoned run",
            task=ended.task_id,
            run=ended.run,
            how=ended.how,
            vm=vm.name,
            # A run of a task that is not done is started again.
            newest_run=0 if task is None else task.run,
            phase="ended" if task is None else task.phase.name.lower(),
        )

    def _finish_abandoned(
        self, vm: VmLedger, ended: EndedRun, now_s: float
    ) -> bool:
        """Accept the success of an abandoned run that was not retried.

        A claim whose start was never ordered is withdrawn.
        """
        task = self._leader.find_task(ended.task_id)
        if task is None or task.step.spec.gang:
            return False
        withdrawn = (
            task.phase is Phase.CLAIMED
            and not task.ordered_at_s
            and not task.step.spec.long_running
        )
        if not withdrawn and (
            task.phase is not Phase.WAITING or task.run != ended.run
        ):
            return False
        if withdrawn and task.instance is not None:
            self._leader.vms[task.instance.vm].claims.pop(task.task_id, None)
        self._leader.explain(
            "run",
            "abandoned run is done",
            task=ended.task_id,
            run=ended.run,
            withdrawn_run=task.run if withdrawn else 0,
        )
        self._finish(vm, task, now_s)
        return True

    def on_refused(
        self, vm: VmLedger, refused: RefusedRun, now_s: float
    ) -> None:
        """Apply the refusal of a run that never started."""
        vm.note_outcome(refused.task_id, refused.run)
        task = vm.claims.get(refused.task_id)
        if task is None or task.run != refused.run:
            return
        del vm.claims[refused.task_id]
        self._leader.explain(
            "run",
            f"refused: {refused.reason}",
            task=refused.task_id,
            run=refused.run,
            vm=vm.name,
        )
        if refused.reason in (REASON_NO_ROOM, REASON_UNREACHABLE):
            vm.full_until_s = now_s + NO_ROOM_PAUSE_S
        if refused.reason == "ticket":
            self._leader.ticket_cache.discard_step(task.step)
        # A claim that is to be stopped may stand for an earlier run.
        may_have_run = task.seen_running or bool(task.stopping)
        waiting_since_s = now_s if may_have_run else task.waiting_since_s
        self._requeue(task, "", now_s)
        task.waiting_since_s = waiting_since_s
        if not task.step.spec.gang:
            return
        # The other members would wait for this one in vain.
        for member in task.step.tasks:
            if member.phase is Phase.CLAIMED and member.run == refused.run:
                self._leader.stop(member, "a member was refused", now_s)

    def abandon(
        self, vm: VmLedger | None, task: TaskRun, why: str, now_s: float
    ) -> None:
        """Release a task whose run can no longer be running."""
        if vm is not None:
            vm.claims.pop(task.task_id, None)
        self._leader.explain(
            "run",
            "abandoned",
            task=task.task_id,
            run=task.run,
            vm="" if vm is None else vm.name,
            why=why,
            # Neither is known of a run that was not reported yet.
            worked_ms=_since_ms(task.started_at_s, now_s),
            still_ms=_since_ms(task.progressed_at_s, now_s),
        )
        self._requeue(task, "", now_s)

    def _finish(self, vm: VmLedger, task: TaskRun, now_s: float) -> None:
        vm.record_success()
        task.step.occurrence.job.blamed_vm = False
        step = task.step
        occurrence = step.occurrence
        if step.spec.long_running:
            self._requeue(task, "", now_s)
            return
        task.finish()
        if step.spec.gang:
            # The end of one member ends the whole gang.
            for member in step.tasks:
                member_vm = self._leader.vms.get(
                    "" if member.instance is None else member.instance.vm
                )
                if member_vm is not None:
                    member_vm.claims.pop(member.task_id, None)
                member.finish()
        step.done = sum(t.phase is Phase.DONE for t in step.tasks)
        self._leader.mark_dirty(occurrence)
        if occurrence.outcome is not Outcome.OPEN:
            return
        if all(s.finished for s in occurrence.steps):
            self._leader.end_occurrence(occurrence, Outcome.COMPLETED, now_s)

    def _fail(
        self, vm: VmLedger, task: TaskRun, checkpoint: str, now_s: float
    ) -> None:
        step = task.step
        occurrence = step.occurrence
        submission = occurrence.job.submission
        task.failed_on.add(vm.name)
        # A failed run of a gang is one failure, however many members tell it.
        is_first = not step.spec.gang or step.gang.note_failed_member(
            task.run, vm.name
        )
        blames_vm = is_first and counts_against_vm(task)
        if blames_vm and vm.record_failure(submission.job_id, now_s):
            self._leader.explain("vm", "quarantined", vm=vm.name)
        task.failures += 1
        retry_delay_s = RETRY_DELAY_S * next_retry_factor(task)
        self._requeue(task, checkpoint, now_s)
        # A gang starts as a whole.
        for member in step.tasks if step.spec.gang else [task]:
            member.not_before_s = max(
                member.not_before_s, now_s + retry_delay_s
            )
        if step.spec.long_running or occurrence.outcome is not Outcome.OPEN:
            return
        failures = step.gang_failures if step.spec.gang else task.failures
        if failures >= occurrence.job.queue.rules.max_attempts:
            self._leader.end_occurrence(occurrence, Outcome.FAILED, now_s)

    def _requeue(self, task: TaskRun, checkpoint: str, now_s: float) -> None:
        task.release(checkpoint, now_s)
        self._leader.mark_dirty(task.step.occurrence)


def _since_ms(at_s: float, now_s: float) -> int:
    return int(1000 * (now_s - at_s)) if at_s else 0
