"""An entry in virtual time: real decision logic, simulated log and clock."""

from __future__ import annotations

from functools import partial
import random
from typing import TYPE_CHECKING

from yuccapoint.connection.log_writer import LogWriter
from yuccapoint.connection.messages import LeaseGrant
from yuccapoint.job.actions import Append
from yuccapoint.job.actions import Send
from yuccapoint.job.batch_leader import BatchLeader
from yuccapoint.job.records import EntryLeft
from yuccapoint.job.records import EntryRenewed
from yuccapoint.job.records import JobCancelled
from yuccapoint.job.records import JobSubmitted
from yuccapoint.process.cell_state import CellState

if TYPE_CHECKING:
    from yuccapoint.bench.batch_simulation import BatchSimulation
    from yuccapoint.connection.messages import AgentReport
    from yuccapoint.job.actions import Action
    from yuccapoint.job.job import Job
    from yuccapoint.job.records import Record

APPEND_DELAY_S = 0.005
# Heartbeats offer no leadership for this long after a failed log call.
LOG_FAULT_HOLD_S = 1.0
HEARTBEAT_TIMEOUT_S = 3.0


class CellEntry:
    """One entry; each start has a new incarnation and empty state.

    Attributes
    ----------
    up, paused, cut_off, stopping : bool
        Whether it runs, is paused, is cut off from the log, is stopping.
    clock_drift : float
        Rate by which its clock runs ahead of true time.
    """

    def __init__(self, simulation: BatchSimulation, name: str) -> None:
        self.simulation = simulation
        self.name = name
        self.up = False
        self.paused = False
        self.cut_off = False
        self.stopping = False
        self.clock_drift = 0.0
        self.clock_offset_s = simulation.rng.uniform(10.0, 10_000.0)
        self.incarnation = 0
        self.log_fault_at_s = -LOG_FAULT_HOLD_S
        self._heartbeat_at_s = -HEARTBEAT_TIMEOUT_S
        self._heartbeat_can_lead = False
        self._paused_reports: list[AgentReport] = []
        self._appending = False
        self._reset()

    @property
    def now_s(self) -> float:
        """Monotonic clock of the entry."""
        return self.clock_offset_s + self.simulation.now_s * (
            1.0 + self.clock_drift
        )

    @property
    def can_lead(self) -> bool:
        """Whether its last heartbeat is recent and offers to lead VMs."""
        recent = (
            self.simulation.now_s < self._heartbeat_at_s + HEARTBEAT_TIMEOUT_S
        )
        return recent and self._heartbeat_can_lead

    def _record_heartbeat(self) -> None:
        now_s = self.simulation.now_s
        self._heartbeat_at_s = now_s
        healthy = now_s >= self.log_fault_at_s + LOG_FAULT_HOLD_S
        self._heartbeat_can_lead = healthy and not self.stopping

    def set_clock_drift(self, clock_drift: float) -> None:
        """Change the rate of the clock without a jump of its reading."""
        self.clock_offset_s += self.simulation.now_s * (
            self.clock_drift - clock_drift
        )
        self.clock_drift = clock_drift

    def start(self) -> None:
        """Start with a new incarnation."""
        self._reset()
        self.up = True
        self._tick(self.incarnation)

    def crash(self) -> None:
        """Stop at once, without a planned shutdown."""
        self.up = False
        self.incarnation += 1

    def stop(self) -> None:
        """Announce a planned stop and end soon after."""
        self.stopping = True
        for vm in self.simulation.vms:
            self.simulation.deliver(partial(vm.on_stopping, self.entry_id))
        self.add(EntryLeft(self.entry_id))
        self.simulation.schedule(3.0, self.crash)

    def submit(self, job: Job) -> None:
        """Submit a job to this entry."""
        self.simulation.oracle.record_submission(job)
        self.add(JobSubmitted(job))

    def cancel(self, job_id: str) -> None:
        """Cancel a job."""
        self.add(JobCancelled(job_id))

    def add(self, record: Record) -> None:
        """Queue a record for the log."""
        self.writer.add(record, self.now_s)

    def on_report(self, report: AgentReport) -> None:
        """Process a report; a paused entry holds it until it resumes."""
        if not self.up:
            return
        if self.paused:
            self._paused_reports.append(report)
            return
        if not self.stopping:
            self._execute(self.leader.on_report(report, self.now_s))

    def resume(self) -> None:
        """Resume after a pause and process the held reports."""
        self.paused = False
        for report in self._paused_reports:
            self.on_report(report)
        self._paused_reports.clear()

    def _reset(self) -> None:
        self.incarnation += 1
        self.stopping = self.paused = False
        self.entry_id = f"{self.name}@{self.incarnation}"
        self.cell = CellState()
        self.writer = LogWriter(self.entry_id)
        self.writer.set_entry_count(self.simulation.entry_count)
        self.leader = BatchLeader(
            self.entry_id,
            self.cell.board,
            self.cell.tables.pool,
            random.Random(self.simulation.rng.random()),
        )
        self._appending = False
        self._paused_reports.clear()

    def _tick(self, incarnation: int) -> None:
        if incarnation != self.incarnation or not self.up:
            return
        self.simulation.schedule(
            self.simulation.tick_s, lambda: self._tick(incarnation)
        )
        if self.paused:
            return
        self._record_heartbeat()
        self._read()
        if not self.stopping:
            wall_ms = self.simulation.now_ms
            self._execute(self.leader.tick(self.now_s, wall_ms))
        self._append()

    def _read(self) -> None:
        if self.simulation.log_down or self.cut_off:
            self.log_fault_at_s = self.simulation.now_s
            return
        while True:
            page = self.simulation.log.read(self.cell.next_offset) or []
            for record in page:
                self._apply(record.offset, record.stamp_ms, record.data)
            if not page:
                return

    def _apply(self, offset: int, stamp_ms: int, data: bytes) -> None:
        applied = self.cell.apply(offset, stamp_ms, data)
        for outcome in applied:
            own_accepted = (
                outcome.writer == self.entry_id and not outcome.refusal
            )
            if own_accepted and isinstance(outcome.record, EntryRenewed):
                sent_at_s = self.writer.first_sent_at_s(outcome.sequence)
                self.leader.on_renewal_acked(sent_at_s)
            self._execute(
                self.leader.on_record(
                    outcome.record, outcome.refusal, self.now_s
                )
            )
        if applied and applied[0].writer == self.entry_id:
            self.writer.on_appended(applied[0].sequence)
            self.writer.pop_batch(applied[0].sequence)
        if applied:
            self.simulation.oracle.check_records(self, applied)

    def _append(self) -> None:
        if self._appending:
            return
        data = self.writer.next_append(self.now_s)
        if data is None:
            return
        self._appending = True
        sequence = self.writer.sequence
        incarnation = self.incarnation
        self.simulation.schedule(
            APPEND_DELAY_S,
            lambda: self._on_append_done(data, sequence, incarnation),
        )

    def _on_append_done(
        self, data: bytes, sequence: int, incarnation: int
    ) -> None:
        simulation = self.simulation
        reachable = not (simulation.log_down or self.cut_off)
        if reachable:
            simulation.append(data)
        if incarnation != self.incarnation:
            return
        self._appending = False
        if not reachable:
            self.log_fault_at_s = simulation.now_s
            return
        if simulation.rng.random() >= simulation.lost_answers:
            self.writer.on_appended(sequence)
        if not self.paused:
            self._read()
            self._append()

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Append):
                self.writer.add(
                    action.record,
                    self.now_s,
                    urgent=action.urgent,
                    bounded=False,
                )
            elif isinstance(action, Send):
                self._send(action)

    def _send(self, action: Send) -> None:
        if isinstance(action.message, LeaseGrant):
            vm = self.simulation.find_vm(action.address)
            self.simulation.deliver(partial(vm.on_grant, action.message))
