"""Scheduling decisions of a cell's leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell import lease_bounds
from yuccapoint.cell.adviser_queries import AdviserQueries
from yuccapoint.cell.cell_view import CellView
from yuccapoint.cell.claim_planner import ClaimPlanner
from yuccapoint.cell.crash_counter import CrashCounter
from yuccapoint.cell.due_occurrences import add_due_occurrences
from yuccapoint.cell.exceptions import InvalidJobError
from yuccapoint.cell.former_grants import FormerGrants
from yuccapoint.cell.interference_model import InterferenceModel
from yuccapoint.cell.job_run import JobRun
from yuccapoint.cell.occurrence_state import Outcome
from yuccapoint.cell.occurrence_state import Phase
from yuccapoint.cell.order_builder import build_orders
from yuccapoint.cell.planning_pass import PlanningPass
from yuccapoint.cell.preemption import find_preemptions
from yuccapoint.cell.queue_changes import QueueChanges
from yuccapoint.cell.report_handler import ReportHandler
from yuccapoint.cell.run_end_handler import RunEndHandler
from yuccapoint.cell.silent_vms import SilentVms
from yuccapoint.cell.store_maintenance import StoreMaintenance
from yuccapoint.cell.task_lookup import find_task
from yuccapoint.cell.ticket_cache import TicketCache
from yuccapoint.cell.uncommitted_changes import UncommittedChanges
from yuccapoint.cell.vm_checks import VmChecks
from yuccapoint.cell.vm_ledger import VmLedger
from yuccapoint.cell.waiting_log import WaitingLog
from yuccapoint.job.actions import Explain

if TYPE_CHECKING:
    from yuccapoint.cell.cell_messages import LeaderOrders
    from yuccapoint.cell.cell_messages import VmReport
    from yuccapoint.cell.cell_records import Member
    from yuccapoint.cell.cell_view import JobView
    from yuccapoint.cell.commit_batch import CommitBatch
    from yuccapoint.cell.occurrence_run import OccurrenceRun
    from yuccapoint.cell.occurrence_state import WorkerInstance
    from yuccapoint.cell.task_run import TaskRun

# Interval at which checkpoints of running tasks are written, together with
# a leadership renewal. It bounds the work lost when all machines fail.
PROGRESS_WRITE_INTERVAL_S = 1.0
# What a job raises whose stored state is inconsistent.
_INCONSISTENT = (
    ArithmeticError,
    AttributeError,
    InvalidJobError,
    LookupError,
    TypeError,
    ValueError,
)


class CellLeader:
    """Decides for all jobs and VMs of a cell while its entry leads.

    Methods receive messages and the current time. A decision takes effect
    once it is stored: ``collect_batch`` returns the records to write and
    ``commit`` applies them afterwards.

    Parameters
    ----------
    name, address : str
        The leading entry and the address for its agents' reports.
    term : int
        Term of the leadership.
    now_s : float
        Steady time of the takeover in seconds.
    former_grants : FormerGrants or None
        Bounds of the leases granted by former leaders; None to count them
        from the takeover.
    """

    def __init__(
        self,
        name: str,
        address: str,
        term: int,
        now_s: float,
        former_grants: FormerGrants | None = None,
    ) -> None:
        self.name = name
        self.address = address
        self.term = term
        self.jobs: dict[str, JobRun] = {}
        self.vms: dict[str, VmLedger] = {}
        self.explanations: list[Explain] = []
        self.ticket_cache = TicketCache()
        self.interference = InterferenceModel()
        self.planning_pass = PlanningPass()
        self.silent_vms = SilentVms(now_s, self.explain)
        self.former_grants = former_grants or FormerGrants(now_s)
        self._progress_written_at_s = now_s
        self._changes = UncommittedChanges()
        self._end_handler = RunEndHandler(self)
        self._report_handler = ReportHandler(self, self._end_handler)
        self.crash_counter = CrashCounter(self)
        self._vm_checks = VmChecks(self, self._report_handler)
        self._waiting_log = WaitingLog(self)
        self.maintenance = StoreMaintenance(self)
        self.adviser_queries = AdviserQueries(self)
        self._queue_changes = QueueChanges(self, CellView(), self._changes)

    def load(self, view: CellView, now_s: float) -> None:
        """Restore the state that the store holds."""
        for member in view.members.values():
            self.on_member(member)
        self.maintenance.load_pairs(view)
        self._queue_changes = QueueChanges(self, view, self._changes)
        for job in view.jobs.values():
            self.try_add_job(job, now_s)

    def try_add_job(self, view: JobView, now_s: float) -> None:
        """Add a job, or skip it if its stored state is inconsistent.

        One such job would otherwise fail every leader that loads it.
        """
        try:
            view.submission.check()
            self.on_job(view, now_s)
        except _INCONSISTENT as error:
            job_id = view.submission.job_id
            self.jobs.pop(job_id, None)
            self.explain(
                "job",
                "stored state is inconsistent; job skipped",
                job=job_id,
                error=repr(error),
            )

    def on_job(self, view: JobView, now_s: float) -> None:
        """Add a job with its stored state."""
        submission = view.submission
        if submission.job_id in self.jobs:
            return
        if view.is_finished and not view.has_claims:
            return
        job = JobRun(submission)
        self._queue_changes.assign(job)
        self.jobs[submission.job_id] = job
        for number, state in view.occurrences.items():
            job.occurrence(number).load(state)
        if not submission.repeats:
            job.occurrence(0)
        for occurrence in job.occurrences.values():
            for task in occurrence.tasks:
                if task.phase is Phase.CLAIMED and task.instance is not None:
                    self._adopt_claim(task, task.instance)
            for task in occurrence.tasks:
                task.waiting_since_s = now_s
        if view.cancelled:
            self.on_cancel(submission.job_id, now_s)

    def on_cancel(self, job_id: str, now_s: float) -> None:
        """End a job that its submitter cancelled."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        # Occurrences that are not due yet are never created.
        job.cancelled = True
        if not job.occurrences:
            del self.jobs[job_id]
        for occurrence in job.occurrences.values():
            if occurrence.outcome is Outcome.OPEN:
                self.end_occurrence(occurrence, Outcome.CANCELLED, now_s)
        self.explain("job", "cancelled", job=job_id)

    def end_occurrence(
        self, occurrence: OccurrenceRun, outcome: Outcome, now_s: float
    ) -> None:
        """Record the outcome of an occurrence and stop its running tasks."""
        occurrence.outcome = outcome
        self.mark_dirty(occurrence)
        for task in occurrence.tasks:
            if task.phase is Phase.CLAIMED:
                self.stop(task, outcome.value, now_s)
        self.explain(
            "job",
            f"occurrence {outcome.value}",
            job=occurrence.job.submission.job_id,
            occurrence=occurrence.number,
        )

    def on_member(self, member: Member) -> None:
        """Register a VM's agent or its new address."""
        vm = self._ensure_vm(member.vm, member.address)
        vm.address = member.address

    def on_report(self, report: VmReport, now_s: float) -> bool:
        """Apply an agent's report of its VM.

        Returns
        -------
        bool
            Whether a decision may follow; a report that only renews the
            VM's lease may wait for the next regular round.
        """
        vm = self._ensure_vm(report.vm, report.address)
        if not vm.accepts(report):
            return False
        was_open = vm.is_open(now_s)
        vm.address = report.address
        vm.heard_at_s = now_s
        vm.orders_due = True
        vm.follows_leader = report.term == self.term
        if vm.follows_leader:
            vm.on_orders_heard(report.heard_orders)
        if report.term > self.term:
            return False
        self._report_handler.apply(vm, report, now_s)
        if report.ends or report.refused:
            return True
        return vm.is_open(now_s) and not was_open

    def heard_orders_sent_at_s(self, report: VmReport) -> float | None:
        """Return when the orders that a report confirms were sent."""
        vm = self.vms.get(report.vm)
        if vm is None or report.term != self.term:
            return None
        return vm.orders_sent_at_s(report.heard_orders)

    def repeat_orders(self, address: str) -> None:
        """Send the orders of the VMs with an agent's address again."""
        for vm in self.vms.values():
            if vm.address == address:
                vm.orders_due = True

    def tick(self, now_s: float, wall_ms: int) -> None:
        """Release expired VMs, stop runs that stall or move, and claim."""
        self._queue_changes.run(now_s)
        self._vm_checks.run(now_s)
        add_due_occurrences(self.jobs.values(), now_s, wall_ms)
        self._plan(now_s, wall_ms)
        if now_s - self._progress_written_at_s >= PROGRESS_WRITE_INTERVAL_S:
            self._progress_written_at_s = now_s
            self._changes.add_unstored_progress(self.vms.values())

    def _plan(self, now_s: float, wall_ms: int) -> None:
        planner = self.planner(now_s, wall_ms)
        chosen = planner.plan(self.jobs.values())
        # All members of a gang share one run number.
        gang_runs = {
            id(task.step): task.step.next_run
            for task, _ in chosen
            if task.step.spec.gang
        }
        for task, vm in chosen:
            if vm.worker is None:
                continue
            run = gang_runs.get(id(task.step), task.run + 1)
            waited_s = now_s - (task.waiting_since_s or now_s)
            if task.step.spec.gang:
                task.step.share_checkpoint()
            task.claim(vm.worker.instance, run)
            vm.claims[task.task_id] = task
            self.mark_dirty(task.step.occurrence)
            self._changes.add_claim(task, run)
            self.explain(
                "place",
                "claimed",
                task=task.task_id,
                run=run,
                vm=vm.name,
                kind=task.step.spec.kind,
                millicores=task.step.spec.size.millicores,
                image=task.step.spec.image,
                max_per_vm=task.step.spec.max_per_vm,
                waited_ms=int(waited_s * 1000),
            )
        self._waiting_log.run(planner, now_s)
        for task in find_preemptions(
            planner, self.vms.values(), self.interference, now_s
        ):
            self.stop(task, "preempted by a job that is still on time", now_s)

    def planner(self, now_s: float, wall_ms: int) -> ClaimPlanner:
        """Return a planner for this point in time."""
        return ClaimPlanner(
            self.vms.values(),
            self.ticket_cache,
            self.interference,
            now_s,
            wall_ms,
            self.planning_pass,
        )

    def stop(self, task: TaskRun, why: str, now_s: float) -> None:
        """Stop a run; the task is released when the run ends."""
        if task.stopping:
            return
        task.stopping = why
        vm = self._vm_of_task(task)
        if vm is None or task.ordered_at_s == 0.0:
            # The start was never sent to an agent: nothing can be running.
            self._end_handler.abandon(vm, task, why, now_s)
            return
        vm.orders_due = True
        self.explain("run", "stopping", task=task.task_id, why=why)

    def block_start(self, task: TaskRun, instance: WorkerInstance) -> None:
        """Stop a claimed run on the instance that its start may reach late.

        The task is released when the agent reports that the run ended or
        will never start there.
        """
        task.move_claim(instance, "the worker restarted")
        self.mark_dirty(task.step.occurrence)
        self.vms[instance.vm].orders_due = True
        self.explain(
            "run",
            "blocking its start at the worker's new instance",
            task=task.task_id,
            run=task.run,
            vm=instance.vm,
        )

    def mark_dirty(self, occurrence: OccurrenceRun) -> None:
        """Schedule an occurrence to be written with the next batch."""
        self._changes.add(occurrence)

    def collect_batch(self) -> CommitBatch:
        """Return the records to write now; the batch may be empty."""
        return self._changes.collect(self.vms.values())

    def commit(self, batch: CommitBatch) -> None:
        """Apply the effects of a batch that has been stored."""
        if batch.silent_vms is not None:
            self.silent_vms.on_renewed(self.vms.values(), batch.silent_vms)
        for task, run in batch.claims:
            if task.phase is Phase.CLAIMED and task.run == run:
                task.durable = True
                vm = self._vm_of_task(task)
                if vm is not None:
                    vm.orders_due = True
        for vm, born_ms, number in batch.end_acks:
            if vm.instance is not None and vm.instance.born_ms == born_ms:
                vm.acked_end_number = max(vm.acked_end_number, number)
                vm.orders_due = True
        for job in self._changes.find_ended_jobs(batch, self.jobs):
            del self.jobs[job.submission.job_id]
            for occurrence in job.occurrences.values():
                for step in occurrence.steps:
                    self.interference.forget(step)
                    self.ticket_cache.forget(step)

    def collect_orders(
        self, now_s: float, *, may_grant: bool
    ) -> list[tuple[VmLedger, LeaderOrders]]:
        """Return the messages that are due, with the VMs they go to."""
        due = []
        for vm in self.vms.values():
            silent_s = now_s - max(vm.heard_at_s, vm.contacted_at_s)
            if not vm.orders_due and silent_s < lease_bounds.PROBE_INTERVAL_S:
                continue
            vm.orders_due = False
            vm.contacted_at_s = now_s
            due.append((vm, build_orders(self, vm, now_s, grant=may_grant)))
        return due

    def find_task(self, task_id: str) -> TaskRun | None:
        """Return the task with an id, or None."""
        return find_task(self.jobs, task_id)

    def explain(self, part: str, text: str, **fields: str | int) -> None:
        """Log a decision."""
        self.explanations.append(Explain(part, text, dict(fields)))

    def _ensure_vm(self, name: str, address: str) -> VmLedger:
        vm = self.vms.get(name)
        if vm is None:
            until_s = self.former_grants.until_s(name)
            vm = VmLedger(name, address, until_s)
            vm.named_silent = self.former_grants.is_silent(name)
            self.vms[name] = vm
        return vm

    def _vm_of_task(self, task: TaskRun) -> VmLedger | None:
        return (
            None if task.instance is None else self.vms.get(task.instance.vm)
        )

    def _adopt_claim(self, task: TaskRun, instance: WorkerInstance) -> None:
        self._ensure_vm(instance.vm, "").claims[task.task_id] = task
        if task.step.occurrence.outcome is not Outcome.OPEN:
            task.stopping = task.step.occurrence.outcome.value
