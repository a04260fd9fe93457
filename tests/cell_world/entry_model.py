"""Simulated entry: its decisions connected to a store model."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell import cell_records
from yuccapoint.cell import lease_bounds
from yuccapoint.cell.cell_leader import CellLeader
from yuccapoint.cell.cell_records import Cancellation
from yuccapoint.cell.cell_records import Leadership
from yuccapoint.cell.cell_records import Member
from yuccapoint.cell.cell_view import CellView
from yuccapoint.cell.leader_election import LeaderElection
from yuccapoint.cell.submission import Submission

if TYPE_CHECKING:
    from cell_world.store_model import StoreModel

READ_EVERY_S = 0.1


class EntryModel:
    """Reads the store, takes over the leadership and leads."""

    def __init__(self, name: str, store: StoreModel, stagger: float) -> None:
        self.name = name
        self.cut = False
        self.alive = True
        self.frozen_until_s = 0.0
        self._store = store
        self._stagger = stagger
        self._incarnation = 0
        self.restart()

    def restart(self) -> None:
        self._incarnation += 1
        self.alive = True
        self.view = CellView()
        self.leader: CellLeader | None = None
        self._watch = LeaderElection(
            self.name, self._incarnation, self._stagger
        )
        self._offset = 0
        self._sequence = 0
        self._renewed_at_s = 0.0
        self._renewal = 0
        self._read_at_s = -9.0

    def step(self, now_s: float) -> list:
        """Return the orders to send as pairs of VM and message."""
        if not self.alive or now_s < self.frozen_until_s:
            return []
        if now_s - self._read_at_s >= READ_EVERY_S:
            self._read(now_s)
        if self.leader is None:
            if self._watch.should_take_over(now_s):
                self._take_over(now_s)
            return []
        self.leader.tick(now_s, int(now_s * 1000))
        self._commit(now_s)
        if self.leader is None:
            return []
        may_grant = self._watch.may_grant(now_s)
        orders = self.leader.collect_orders(now_s, may_grant=may_grant)
        self.leader.explanations.clear()
        return [(vm.name, message) for vm, message in orders]

    def on_report(self, report, now_s: float) -> None:
        if self.leader is not None and now_s >= self.frozen_until_s:
            self.leader.on_report(report, now_s)

    def append(self, key: str, record) -> bool:
        """Append a caller's record by way of this entry."""
        if not self.alive or self.cut:
            return False
        value = cell_records.encode(record)
        return self._store.append([(key, value)]) == "done"

    def _read(self, now_s: float) -> None:
        if self.cut or self._store.down:
            return
        self._read_at_s = now_s
        for key, value in self._store.records[self._offset :]:
            offset = self._offset
            self._offset += 1
            record = cell_records.decode(key, value)
            if self.view.apply(key, record, offset):
                self._on_record(record, now_s)
        self._watch.on_records_read(self.view.leadership, now_s)
        if self._watch.leads() and self.leader is None:
            leader = CellLeader(self.name, self.name, self._watch.term, now_s)
            leader.load(self.view, now_s)
            self.leader = leader
        if not self._watch.leads():
            self.leader = None

    def _on_record(self, record, now_s: float) -> None:
        if self.leader is None:
            return
        if isinstance(record, Submission):
            self.leader.on_job(self.view.jobs[record.job_id], now_s)
        if isinstance(record, Cancellation):
            self.leader.on_cancel(record.job_id, now_s)
        if isinstance(record, Member):
            self.leader.on_member(record)

    def _take_over(self, now_s: float) -> None:
        term = self._watch.term + 1
        record = Leadership(term, self.name, self._incarnation)
        self._sequence = 1
        if self._append([(cell_records.LEADERSHIP, record)], term) == "done":
            self._watch.on_renewed(now_s)
            self._renewed_at_s = now_s

    def _commit(self, now_s: float) -> None:
        leader = self.leader
        assert leader is not None
        if self.cut or self._store.down:
            return
        batch = leader.collect_batch()
        if now_s - self._renewed_at_s >= lease_bounds.RENEW_INTERVAL_S:
            self._renewal += 1
            self._renewed_at_s = now_s
            record = Leadership(
                leader.term, self.name, self._incarnation, self._renewal
            )
            batch.records.append(
                (cell_records.LEADERSHIP, cell_records.encode(record))
            )
        if batch.records:
            self._sequence += 1
            result = self._store.append(
                batch.records, leader.term, self._sequence
            )
            if result != "done":
                self.leader = None
                return
            self._watch.on_renewed(now_s)
        leader.commit(batch)

    def _append(self, records, term: int) -> str:
        if self.cut:
            return "refused"
        encoded = [(k, cell_records.encode(r)) for k, r in records]
        return self._store.append(encoded, term, self._sequence)
