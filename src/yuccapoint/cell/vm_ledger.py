"""The leader's account of one VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell import lease_bounds
from yuccapoint.cell.late_calls import MAX_CALL_DELAY_S
from yuccapoint.cell.obstacle import Obstacle
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from yuccapoint.cell.cell_messages import VmReport
    from yuccapoint.cell.cell_messages import WorkerReport
    from yuccapoint.cell.occurrence_state import WorkerInstance
    from yuccapoint.cell.task_run import TaskRun

# Time after the order of a start in which its calls may be executed: agents
# repeat an unanswered call for 2 s.
ORDERED_START_S = MAX_CALL_DELAY_S + 2.0
# Orders that are kept to match the agent's reports with.
MAX_UNCONFIRMED_ORDERS = 32
# Failures of different jobs, without a success in between, after which the
# VM is blamed instead of the jobs.
QUARANTINE_FAILURES = 2
# Initial quarantine and its limit; each further one doubles. They are shorter
# than most faults last, so that the VM is soon tested again.
INITIAL_QUARANTINE_S = 2.0
MAX_QUARANTINE_S = 8.0
# After a quarantine a VM gets one run at a time until one is done, for at
# most this long, as long-running tasks never end.
PROBATION_S = 4.0


class VmLedger:
    """Claims, reported state and granted leases of a VM.

    Attributes
    ----------
    leased_until_s : float
        When all leases that any leader may have granted have expired.
    has_worker : bool
        Whether the agent knows a worker; without one it can't pass on a
        lease.
    worker_reported_by : int
        Incarnation of the agent that reported the worker last.
    former_calls_until_s : float
        Until when a call of this agent's predecessor may be executed.
    ordered_runs : dict
        For each run whose start was ordered lately, when that was, and the
        instance on which it started or can't start any more.
    deaf : bool
        Whether the agent has not confirmed orders for too long to get new
        work, though its reports may arrive.
    acked_end_number : int
        Run ends up to this number are stored.
    applied_end_number : int
        Run ends up to this number are applied to the leader's state.
    unclaimed_runs : dict
        Runs on the worker without a claim, by task and run.
    failed_at_s : float
        When a failure counted against the VM last.
    failures_of : WorkerInstance or None
        Instance on which a run failed or stalled last.
    reserved_for : str
        Task suspected of crashing workers that may start until
        ``reserved_until_s``, alone.
    named_silent : bool
        Whether a renewal of the leader's names the VM as silent, so that it
        gets no lease.
    """

    def __init__(self, name: str, address: str, leased_until_s: float) -> None:
        self.name = name
        self.address = address
        self.leased_until_s = leased_until_s
        self.incarnation = 0
        self.report_sequence = 0
        self.order_sequence = 0
        self._sent_orders_at_s: dict[int, float] = {}
        self.deaf = False
        # Agents of an earlier build confirm no orders.
        self._confirms_orders = False
        # The first orders since the last confirmed ones; 0 if there are none.
        self._unconfirmed_order = 0
        self._unconfirmed_since_s = 0.0
        self.heard_at_s = 0.0
        self.contacted_at_s = 0.0
        self.worker: WorkerReport | None = None
        self.has_worker = False
        self.worker_reported_by = 0
        self.former_calls_until_s = 0.0
        self.ordered_runs: dict[
            tuple[str, int], tuple[float, WorkerInstance]
        ] = {}
        self.follows_leader = False
        self.runs_listed = False
        self.claims: dict[str, TaskRun] = {}
        self.unclaimed_runs: dict[tuple[str, int], Size] = {}
        self.pending: set[tuple[str, int]] = set()
        self.applied_end_number = 0
        self.acked_end_number = 0
        self.orders_due = False
        self.drain_until_s = 0.0
        self.failed_jobs: set[str] = set()
        self.failed_at_s = 0.0
        self.failures_of: WorkerInstance | None = None
        self.quarantined_until_s = 0.0
        self.quarantine_s = INITIAL_QUARANTINE_S
        self.unproven = False
        self.full_until_s = 0.0
        self.pairs_sent_at_s = 0.0
        self.pairs_sent_for: frozenset[str] = frozenset()
        self.moved_at_s = 0.0
        self.reserved_for = ""
        self.reserved_until_s = 0.0
        self.named_silent = False

    @property
    def instance(self) -> WorkerInstance | None:
        """The instance of the worker in the last report."""
        return None if self.worker is None else self.worker.instance

    def accepts(self, report: VmReport) -> bool:
        """Return whether a report is newer than all earlier ones."""
        if report.incarnation < self.incarnation:
            return False
        if report.incarnation > self.incarnation:
            self.incarnation = report.incarnation
            self.report_sequence = 0
            self._confirms_orders = False
        if report.sequence <= self.report_sequence:
            return False
        self.report_sequence = report.sequence
        return True

    def note_reporter(self, incarnation: int, now_s: float) -> bool:
        """Note which agent reported the worker.

        Returns
        -------
        bool
            Whether a former agent may have sent calls that are still to be
            executed, of which this one doesn't know.
        """
        reported_by = self.worker_reported_by
        self.worker_reported_by = incarnation
        if not reported_by:
            return True
        if reported_by != incarnation:
            self.former_calls_until_s = now_s + MAX_CALL_DELAY_S
        return now_s < self.former_calls_until_s

    def next_order_sequence(self, now_s: float) -> int:
        """Return the sequence number of orders that are sent now."""
        self.order_sequence += 1
        self._sent_orders_at_s[self.order_sequence] = now_s
        if len(self._sent_orders_at_s) > MAX_UNCONFIRMED_ORDERS:
            del self._sent_orders_at_s[next(iter(self._sent_orders_at_s))]
        if not self._unconfirmed_order:
            self._unconfirmed_order = self.order_sequence
            self._unconfirmed_since_s = now_s
        return self.order_sequence

    def on_orders_heard(self, sequence: int) -> None:
        """Apply the newest orders that a report confirms; 0 for none."""
        if not sequence:
            return
        self._confirms_orders = True
        if sequence >= self._unconfirmed_order:
            self._unconfirmed_order = 0

    def unconfirmed_s(self, now_s: float) -> float:
        """Return for how long the agent has not confirmed any orders."""
        if not self._unconfirmed_order or not self._confirms_orders:
            return 0.0
        return now_s - self._unconfirmed_since_s

    def orders_sent_at_s(self, sequence: int) -> float | None:
        """Return when orders were sent, if known."""
        return self._sent_orders_at_s.get(sequence)

    def note_order(self, task_id: str, run: int, now_s: float) -> None:
        """Note that a start is ordered on the present instance."""
        for key, (ordered_at_s, _) in list(self.ordered_runs.items()):
            if now_s - ordered_at_s < ORDERED_START_S:
                break
            del self.ordered_runs[key]
        self.ordered_runs.pop((task_id, run), None)
        if self.instance is not None:
            self.ordered_runs[(task_id, run)] = (now_s, self.instance)

    def note_outcome(self, task_id: str, run: int) -> None:
        """Note that a run ended or can't start on the present instance."""
        ordered = self.ordered_runs.get((task_id, run))
        if ordered is not None and self.instance is not None:
            self.ordered_runs[(task_id, run)] = (ordered[0], self.instance)

    def late_starts(self, now_s: float) -> list[tuple[str, int]]:
        """Return runs that a former agent's calls may start here.

        The calls were meant for a former instance of the worker with the id
        of the present one. An agent blocks its own calls of this kind.
        """
        instance = self.instance
        if instance is None or now_s >= self.former_calls_until_s:
            return []
        late = []
        for key, (ordered_at_s, former) in self.ordered_runs.items():
            if now_s - ordered_at_s >= ORDERED_START_S:
                continue
            if former.worker_id != instance.worker_id or former == instance:
                continue
            claim = self.claims.get(key[0])
            if claim is None or claim.run != key[1]:
                late.append(key)
        return late

    def grant(self) -> None:
        """Record a lease that is granted in answer to the last report.

        The agent counts the lease from the time it sent that report,
        however late or often the report is answered.
        """
        until_s = lease_bounds.granted_until_s(self.heard_at_s)
        self.leased_until_s = max(self.leased_until_s, until_s)

    def hold_on(self, now_s: float, remaining_ms: int) -> None:
        """Record that runs may go on by leases for former instances.

        Parameters
        ----------
        now_s : float
            Steady time in seconds at which the report arrived.
        remaining_ms : int
            For how long, on the agent's clock; 0 if they can't.
        """
        if not remaining_ms:
            return
        until_s = lease_bounds.remaining_until_s(now_s, remaining_ms)
        self.leased_until_s = max(self.leased_until_s, until_s)

    def is_open(self, now_s: float) -> bool:
        """Return whether the VM accepts new work now."""
        return self.find_obstacle(now_s) is None

    def find_obstacle(self, now_s: float) -> Obstacle | None:
        """Return why the VM accepts no new work now, or None if it does."""
        worker = self.worker
        if worker is None:
            return Obstacle.NO_WORKER
        if worker.lease_expired:
            return Obstacle.LEASE_EXPIRED
        if worker.draining:
            return Obstacle.DRAINING
        if not self.follows_leader:
            return Obstacle.OTHER_LEADER
        if not self.runs_listed:
            return Obstacle.RUNS_NOT_LISTED
        if now_s < self.full_until_s:
            return Obstacle.REFUSED_LATELY
        if self.unconfirmed_s(now_s) >= lease_bounds.UNCONFIRMED_AFTER_S:
            return Obstacle.CONFIRMS_NO_ORDERS
        if now_s - self.heard_at_s >= lease_bounds.STALE_AFTER_S:
            return Obstacle.SILENT
        if now_s < self.quarantined_until_s:
            return Obstacle.QUARANTINE
        return None

    def is_on_probation(self, now_s: float) -> bool:
        """Return whether the VM is limited to one run after a quarantine."""
        return self.unproven and now_s < self.quarantined_until_s + PROBATION_S

    @property
    def used(self) -> Size:
        """Resources committed by claims and by unclaimed runs."""
        used = Size()
        for task in self.claims.values():
            used += task.step.spec.committed
        for size in self.unclaimed_runs.values():
            used += size
        return used

    @property
    def available(self) -> Size:
        """Resources that are not committed."""
        if self.worker is None:
            return Size()
        return self.worker.capacity - self.used

    def record_failure(self, job_id: str, now_s: float) -> bool:
        """Record a failed run; return whether it starts a quarantine."""
        self.failed_jobs.add(job_id)
        self.failed_at_s = now_s
        self.failures_of = self.instance
        if not self.unproven and len(self.failed_jobs) < QUARANTINE_FAILURES:
            return False
        self.quarantined_until_s = now_s + self.quarantine_s
        self.quarantine_s = min(self.quarantine_s * 2, MAX_QUARANTINE_S)
        self.failed_jobs.clear()
        self.unproven = True
        return True

    def forget_former_failures(self) -> None:
        """Drop the failures that an earlier instance is blamed for."""
        if self.failures_of is None or self.failures_of == self.instance:
            return
        self.record_success()
        self.quarantined_until_s = 0.0

    def record_success(self) -> None:
        """Record a successful run."""
        self.failed_jobs.clear()
        self.unproven = False
        self.quarantine_s = INITIAL_QUARANTINE_S
