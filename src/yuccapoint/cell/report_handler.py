"""Handling of agents' reports by the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccapoint.cell import lease_bounds
from yuccapoint.cell.blame import note_work
from yuccapoint.cell.occurrence_state import Phase
from yuccapoint.cell.throttled_moves import track_speed
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from yuccapoint.cell.cell_leader import CellLeader
    from yuccapoint.cell.cell_messages import RunningTask
    from yuccapoint.cell.cell_messages import VmReport
    from yuccapoint.cell.cell_messages import WorkerReport
    from yuccapoint.cell.occurrence_state import WorkerInstance
    from yuccapoint.cell.run_end_handler import RunEndHandler
    from yuccapoint.cell.task_run import TaskRun
    from yuccapoint.cell.vm_ledger import VmLedger

# A task that a withheld instance runs is started elsewhere at the earliest
# after this time, in which the agent reports again.
LATE_START_HOLD_S = 1.25 * lease_bounds.REPORT_INTERVAL_S


class ReportHandler:
    """Applies reports to the leader's ledgers.

    Parameters
    ----------
    leader : CellLeader
        Leader whose VMs are reported.
    ends : RunEndHandler
        Handler of run ends and refusals.
    """

    __slots__ = ("_end_handler", "_leader")

    def __init__(self, leader: CellLeader, ends: RunEndHandler) -> None:
        self._leader = leader
        self._end_handler = ends

    def apply(self, vm: VmLedger, report: VmReport, now_s: float) -> None:
        """Apply a report that is newer than all earlier ones."""
        vm.hold_on(now_s, report.former_hold_ms)
        self._apply_worker(vm, report, now_s)
        if report.worker is None:
            self._hold_late_starts(report, now_s)
            return
        if not report.runs_listed:
            return
        for ended in report.ends:
            self._end_handler.on_ended(vm, ended, now_s)
        for refused in report.refused:
            self._end_handler.on_refused(vm, refused, now_s)
        self._apply_running(vm, report, now_s)
        self._leader.interference.on_report(vm, now_s)

    def _hold_late_starts(self, report: VmReport, now_s: float) -> None:
        """Keep tasks waiting that an instance runs which isn't reported.

        It has executed starts that were meant for a former instance, and
        its agent stops them.
        """
        for running in report.running:
            task = self._leader.find_task(running.task_id)
            if task is None or task.phase is Phase.DONE:
                continue
            task.not_before_s = max(
                task.not_before_s, now_s + LATE_START_HOLD_S
            )

    def release_claims(self, vm: VmLedger, why: str, now_s: float) -> None:
        """Release all tasks of a VM that can't run them any more."""
        if not vm.claims:
            return
        self._leader.explain("vm", why, vm=vm.name, tasks=len(vm.claims))
        for task in list(vm.claims.values()):
            self._end_handler.abandon(vm, task, why, now_s)

    def _apply_worker(
        self, vm: VmLedger, report: VmReport, now_s: float
    ) -> None:
        worker = report.worker
        vm.has_worker = worker is not None
        if worker is None:
            vm.runs_listed = False
            return
        previous = vm.worker
        if _has_drained_before(previous, worker):
            # A restarted agent may get a check-in from before the notice.
            worker = msgspec.structs.replace(worker, draining=True)
        vm.worker = worker
        vm.runs_listed = report.runs_listed
        agent_restarted = vm.note_reporter(report.incarnation, now_s)
        if previous is None or previous.instance != worker.instance:
            vm.applied_end_number = 0
            vm.acked_end_number = 0
            vm.unclaimed_runs.clear()
            vm.forget_former_failures()
            self._leader.explain(
                "vm",
                "a worker registered",
                vm=vm.name,
                worker=worker.instance.worker_id,
                born_ms=worker.instance.born_ms,
            )
        elif previous.capacity != worker.capacity:
            self._leader.explain(
                "vm",
                "its worker's capacity has changed",
                vm=vm.name,
                millicores=worker.capacity.millicores,
                memory_bytes=worker.capacity.memory_bytes,
                accelerators=worker.capacity.accelerators,
            )
        self._release_former_instances(
            vm, report, worker.instance, now_s, agent_restarted=agent_restarted
        )
        if previous is not None and worker.draining and not previous.draining:
            self._leader.explain(
                "vm", "drains", vm=vm.name, remaining_ms=worker.remaining_ms
            )
        vm.drain_until_s = now_s + worker.remaining_ms / 1000
        if worker.lease_expired:
            self.release_claims(vm, "the worker's lease expired", now_s)

    def _release_former_instances(
        self,
        vm: VmLedger,
        report: VmReport,
        instance: WorkerInstance,
        now_s: float,
        *,
        agent_restarted: bool,
    ) -> None:
        for task in list(vm.claims.values()):
            if task.instance is None or task.instance == instance:
                continue
            # A restarted agent may have followed a delayed check-in, unless
            # the instance has listed its runs.
            later = task.instance.born_ms > instance.born_ms
            if later and not report.runs_listed:
                continue
            same_id = task.instance.worker_id == instance.worker_id
            if agent_restarted and same_id and task.ordered_at_s:
                # Only the former agent knew which starts are unanswered and
                # may still reach the new instance.
                self._leader.block_start(task, instance)
                continue
            self._end_handler.abandon(vm, task, "the worker restarted", now_s)

    def _apply_running(
        self, vm: VmLedger, report: VmReport, now_s: float
    ) -> None:
        vm.pending = set(report.pending)
        vm.unclaimed_runs.clear()
        for running in report.running:
            task = vm.claims.get(running.task_id)
            if task is None or task.run != running.run:
                key = (running.task_id, running.run)
                vm.unclaimed_runs[key] = self._size_on(vm, running.task_id)
                continue
            self._note_progress(task, running, now_s)
            note_work(vm, task, now_s)
        for task_id, run in report.pending:
            task = vm.claims.get(task_id)
            if task is None or task.run != run:
                vm.unclaimed_runs[(task_id, run)] = self._size_on(vm, task_id)
        listed = {running.task_id for running in report.running}
        for task in vm.claims.values():
            if task.seen_running and task.task_id not in listed:
                # Reorder the start; the worker then reports its outcome.
                task.seen_running = False
                task.ordered_at_s = now_s

    def _size_on(self, vm: VmLedger, task_id: str) -> Size:
        """Return the room of a run; all of its VM's if it is unknown."""
        known = self._leader.find_task(task_id)
        if known is not None:
            return known.step.spec.committed
        return Size() if vm.worker is None else vm.worker.capacity

    def _note_progress(
        self, task: TaskRun, running: RunningTask, now_s: float
    ) -> None:
        if not task.seen_running:
            task.seen_running = True
            task.step.occurrence.begun = True
            task.started_at_s = now_s
            task.progressed_at_s = now_s
        if running.checkpoint and running.checkpoint != task.checkpoint:
            # Members of a gang start from one checkpoint, so that theirs
            # are updated only when a run ends.
            if not task.step.spec.gang:
                task.checkpoint = running.checkpoint
            task.progressed_at_s = now_s
        if running.percent != task.percent:
            task.percent = running.percent
            task.progressed_at_s = now_s
        task.load = running.load
        track_speed(task)


def _has_drained_before(
    previous: WorkerReport | None, worker: WorkerReport
) -> bool:
    """Return whether an instance that began to drain is reported ready."""
    if previous is None or previous.instance != worker.instance:
        return False
    return previous.draining and not worker.draining
