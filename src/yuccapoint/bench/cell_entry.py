"""An entry in virtual time: its real logic, its log and its clock."""

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

APPEND_S = 0.005
FAULT_SHOWN_S = 1.0
ENTRY_SILENT_S = 3.0


class CellEntry:
    """One entry; a new start has a new incarnation and knows nothing.

    Attributes
    ----------
    up, paused, cut_off, stopping : bool
        Whether it runs, is not scheduled, can't reach the log, stops.
    drift : float
        By how much its clock runs faster than true time.
    """

    def __init__(self, world: BatchSimulation, name: str) -> None:
        self.world = world
        self.name = name
        self.up = False
        self.paused = False
        self.cut_off = False
        self.stopping = False
        self.drift = 0.0
        self.offset_s = world.rng.uniform(10.0, 10_000.0)
        self.incarnation = 0
        self.fault_at_s = -FAULT_SHOWN_S
        self._hello_at_s = -ENTRY_SILENT_S
        self._hello_adopts = False
        self._held: list[AgentReport] = []
        self._appending = False
        self._begin()

    @property
    def now_s(self) -> float:
        """Its monotonic clock."""
        return self.offset_s + self.world.now_s * (1.0 + self.drift)

    @property
    def adopts(self) -> bool:
        """Whether it was heard lately and said that it can lead VMs."""
        heard = self.world.now_s < self._hello_at_s + ENTRY_SILENT_S
        return heard and self._hello_adopts

    def _greet(self) -> None:
        now_s = self.world.now_s
        self._hello_at_s = now_s
        shown = now_s >= self.fault_at_s + FAULT_SHOWN_S
        self._hello_adopts = shown and not self.stopping

    def set_drift(self, drift: float) -> None:
        """Let the clock run faster or slower from now on."""
        self.offset_s += self.world.now_s * (self.drift - drift)
        self.drift = drift

    def start(self) -> None:
        """Start with a new incarnation."""
        self._begin()
        self.up = True
        self._tick(self.incarnation)

    def die(self) -> None:
        """Die at once."""
        self.up = False
        self.incarnation += 1

    def stop(self) -> None:
        """Stop as planned."""
        self.stopping = True
        for vm in self.world.vms:
            self.world.deliver(partial(vm.on_stopping, self.entry_id))
        self.add(EntryLeft(self.entry_id))
        self.world.schedule(3.0, self.die)

    def submit(self, job: Job) -> None:
        """Take a job."""
        self.world.oracle.record_submission(job)
        self.add(JobSubmitted(job))

    def cancel(self, job_id: str) -> None:
        """Cancel a job."""
        self.add(JobCancelled(job_id))

    def add(self, record: Record) -> None:
        """Queue a record for the log."""
        self.writer.add(record, self.now_s)

    def on_report(self, report: AgentReport) -> None:
        """Take a report; a paused entry takes it later."""
        if not self.up:
            return
        if self.paused:
            self._held.append(report)
            return
        if not self.stopping:
            self._act(self.leader.on_report(report, self.now_s))

    def resume(self) -> None:
        """Run on after a pause, with the messages that waited."""
        self.paused = False
        for report in self._held:
            self.on_report(report)
        self._held.clear()

    def _begin(self) -> None:
        self.incarnation += 1
        self.stopping = self.paused = False
        self.entry_id = f"{self.name}@{self.incarnation}"
        self.cell = CellState()
        self.writer = LogWriter(self.entry_id)
        self.writer.set_entry_count(self.world.entry_count)
        self.leader = BatchLeader(
            self.entry_id,
            self.cell.board,
            self.cell.tables.pool,
            random.Random(self.world.rng.random()),
        )
        self._appending = False
        self._held.clear()

    def _tick(self, incarnation: int) -> None:
        if incarnation != self.incarnation or not self.up:
            return
        self.world.schedule(self.world.tick_s, lambda: self._tick(incarnation))
        if self.paused:
            return
        self._greet()
        self._read()
        if not self.stopping:
            wall_ms = self.world.now_ms
            self._act(self.leader.tick(self.now_s, wall_ms))
        self._append()

    def _read(self) -> None:
        if self.world.log_down or self.cut_off:
            self.fault_at_s = self.world.now_s
            return
        while True:
            page = self.world.log.read(self.cell.next_offset) or []
            for record in page:
                self._apply(record.offset, record.stamp_ms, record.data)
            if not page:
                return

    def _apply(self, offset: int, stamp_ms: int, data: bytes) -> None:
        applied = self.cell.apply(offset, stamp_ms, data)
        for outcome in applied:
            own = outcome.writer == self.entry_id and not outcome.refusal
            if own and isinstance(outcome.record, EntryRenewed):
                sent_at_s = self.writer.first_sent_at_s(outcome.sequence)
                self.leader.on_renewal_acked(sent_at_s)
            self._act(
                self.leader.on_record(
                    outcome.record, outcome.refusal, self.now_s
                )
            )
        if applied and applied[0].writer == self.entry_id:
            self.writer.on_appended(applied[0].sequence)
            self.writer.pop_batch(applied[0].sequence)
        if applied:
            self.world.oracle.check_records(self, applied)

    def _append(self) -> None:
        if self._appending:
            return
        data = self.writer.next_append(self.now_s)
        if data is None:
            return
        self._appending = True
        sequence = self.writer.sequence
        incarnation = self.incarnation
        self.world.schedule(
            APPEND_S, lambda: self._sent(data, sequence, incarnation)
        )

    def _sent(self, data: bytes, sequence: int, incarnation: int) -> None:
        world = self.world
        reached = not (world.log_down or self.cut_off)
        if reached:
            world.append(data)
        if incarnation != self.incarnation:
            return
        self._appending = False
        if not reached:
            self.fault_at_s = world.now_s
            return
        if world.rng.random() >= world.lost_answers:
            self.writer.on_appended(sequence)
        if not self.paused:
            self._read()
            self._append()

    def _act(self, actions: list[Action]) -> None:
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
            vm = self.world.find_vm(action.address)
            self.world.deliver(partial(vm.on_grant, action.message))
