"""An entry of a cell: takes jobs in and leads the cell when it has to."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import Protocol
from typing import TYPE_CHECKING

import xxhash

from yuccapoint.cell import cell_records
from yuccapoint.cell import lease_bounds
from yuccapoint.cell.cell_leader import CellLeader
from yuccapoint.cell.cell_messages import CellMessage
from yuccapoint.cell.cell_messages import RelayAnswer
from yuccapoint.cell.cell_messages import RelayRequest
from yuccapoint.cell.cell_messages import VmReport
from yuccapoint.cell.cell_records import Cancellation
from yuccapoint.cell.cell_records import EntryMember
from yuccapoint.cell.cell_records import Leadership
from yuccapoint.cell.cell_records import Member
from yuccapoint.cell.cell_view import CellView
from yuccapoint.cell.leader_election import LeaderElection
from yuccapoint.cell.submission import Submission
from yuccapoint.cell.ticket_cache import step_id
from yuccapoint.connection.cell_store import StoreFencedError
from yuccapoint.connection.control_channel import ControlChannel
from yuccapoint.exceptions import YuccapointError
from yuccapoint.process.append_relay import AppendRelay
from yuccapoint.process.cell_desk import CellDesk
from yuccapoint.process.cell_tail import CellTail
from yuccapoint.process.cell_writer import CellWriter
from yuccapoint.process.steady_clock import steady_s
from yuccapoint.process.steady_clock import wall_ms
from yuccapoint.process.watched_task import watched

if TYPE_CHECKING:
    from yuccapoint.cell.cell_records import CellRecord
    from yuccapoint.cell.commit_batch import CommitBatch
    from yuccapoint.connection.cell_store import CellStore
    from yuccapoint.process.logs import Logs
    from yuccapoint.process.metrics import Metrics

# Pauses between reads of the store in seconds: a leader has to see new jobs
# soon, the others only have to answer for them.
LEADER_READ_PAUSE_S = 0.03
READ_PAUSE_S = 0.15
# A round of decisions follows the last one after this many seconds at the
# earliest, and after the second figure at the latest.
MIN_ROUND_S = 0.02
MAX_ROUND_S = 0.1
# What was learned of images that disturb each other is kept this often, in
# seconds; a new leader learns what is missing in about as long.
KEEP_PAIRS_EVERY_S = 5.0
# Pause in seconds while the adviser has nothing to be asked.
ADVICE_PAUSE_S = 0.1
# Pause before a refused registration is repeated, in seconds.
REGISTER_RETRY_S = 0.5
# Rate of attempts to take the cell over, in seconds.
TAKE_OVER_EVERY_S = 0.5

# Longest time that a planned stop spends on handing the cell over, and
# that a takeover waits for the store, in seconds.
RESIGN_TIMEOUT_S = 1.5
TAKE_OVER_TIMEOUT_S = 1.5


class AdviserPort(Protocol):
    """Knows which workers may run a step."""

    async def ask(self, step: str, worker_ids: list[str]) -> dict[str, str]:
        """Give tickets by the id of each worker that may run a step."""


class CellEntryProcess:
    """Wires desk, tail, leader and writer of one cell.

    Parameters
    ----------
    name, address : str
        Name of the entry and where control messages reach it.
    store : CellStore
        Records of the cell.
    logs : Logs
        Where decisions are said.
    metrics : Metrics
        Counters of the process.

    Attributes
    ----------
    adviser : AdviserPort or None
        Asked for steps of queues that have an adviser.
    failed : asyncio.Event
        Set when a part of the process failed; it has to start anew.
    """

    def __init__(
        self,
        name: str,
        address: str,
        store: CellStore,
        logs: Logs,
        metrics: Metrics,
    ) -> None:
        self.name = name
        self.address = address
        self.incarnation = time.time_ns()
        self.logs = logs
        self.metrics = metrics
        self.view = CellView()
        self.leader: CellLeader | None = None
        self.adviser: AdviserPort | None = None
        self._store = store
        stagger = xxhash.xxh32_intdigest(name.encode()) / 2**32
        self._watch = LeaderElection(name, self.incarnation, stagger)
        self.tail = CellTail(
            store, self.view, self._on_record, self._on_read, logs
        )
        self.tail.pause_s = READ_PAUSE_S
        self._mailbox = ControlChannel(address, self._on_message, CellMessage)
        self._relay = AppendRelay(
            store, self._mailbox, lambda: self.view.peers_of(name), logs
        )
        self.desk = CellDesk(
            self.view, self.tail, store, self._relay, logs, metrics
        )
        self._writer: CellWriter | None = None
        self._append: asyncio.Task[None] | None = None
        self._renewed_at_s = 0.0
        self._renewal = 0
        self._pairs_kept_at_s = 0.0
        self._tried_at_s = 0.0
        self._wake = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False
        self.failed = asyncio.Event()

    def start(self) -> None:
        """Follow the store and receive control messages."""
        self._mailbox.open()
        jobs = (
            self.tail.run(),
            self._register(),
            self._run_rounds(),
            self._run_advice(),
        )
        for job in jobs:
            self._tasks.append(watched(job, self.logs, self.failed))
        self.logs.say(
            "entry", "started", incarnation=self.incarnation, at=self.address
        )

    async def hand_over(self) -> None:
        """Let another entry lead; callers are still answered."""
        self._stopping = True
        self.desk.stopping = True
        self.logs.say("entry", "stopping", leads=self.leader is not None)
        if self.leader is None:
            return
        try:
            async with asyncio.timeout(RESIGN_TIMEOUT_S):
                await self._resign()
        except (YuccapointError, TimeoutError) as error:
            # The others take over when they miss the renewals.
            self.logs.say("leader", "not resigned", error=repr(error))

    def stop(self) -> None:
        """Stop all parts."""
        for task in self._tasks:
            task.cancel()
        if self._append is not None:
            self._append.cancel()
        self._mailbox.close()

    def _on_record(self, record: CellRecord | None) -> None:
        if self.leader is None or record is None:
            return
        now_s = steady_s()
        if isinstance(record, Submission):
            view = self.view.find(record.job_id)
            if view is not None:
                self.leader.on_job(view, now_s)
                self._wake.set()
        if isinstance(record, Cancellation):
            self.leader.on_cancel(record.job_id, now_s)
            self._wake.set()
        if isinstance(record, Member):
            self.leader.on_member(record)

    def _on_read(self) -> None:
        now_s = steady_s()
        self._watch.on_records_read(self.view.leadership, now_s)
        if self._watch.leads() and self.leader is None:
            self._lead(now_s)
        if not self._watch.leads() and self.leader is not None:
            self._step_down("another entry leads")
        if self._watch.should_take_over(now_s) and not self._stopping:
            self._wake.set()

    async def _take_over(self) -> None:
        now_s = steady_s()
        if now_s - self._tried_at_s < TAKE_OVER_EVERY_S:
            return
        self._tried_at_s = now_s
        term = self._watch.term + 1
        self.logs.say("leader", "taking over", term=term)
        writer = CellWriter(self._store, term, self.logs)
        try:
            async with asyncio.timeout(TAKE_OVER_TIMEOUT_S):
                sent_at_s = await writer.append([self._leadership(term, 0)])
        except (YuccapointError, TimeoutError) as error:
            self.logs.say("leader", "not taken over", error=repr(error))
            return
        self._writer = writer
        self._watch.on_renewed(sent_at_s)
        # The tail tells whether this entry was the first with this term.

    def _lead(self, now_s: float) -> None:
        if self._writer is None:
            # The answer to the takeover was lost, but the record is there.
            self._writer = CellWriter(self._store, self._watch.term, self.logs)
            self._writer.skip_first()
        leader = CellLeader(self.name, self.address, self._watch.term, now_s)
        leader.load(self.view, now_s)
        self.leader = leader
        self.tail.pause_s = LEADER_READ_PAUSE_S
        self._renewed_at_s = now_s
        self._renewal = 0
        self.metrics.count("takeovers")
        self.logs.say(
            "leader",
            "leads",
            term=leader.term,
            jobs=len(leader.jobs),
            vms=len(leader.vms),
        )
        self._wake.set()

    def _step_down(self, why: str) -> None:
        if self.leader is None:
            return
        self.logs.say("leader", "steps down", term=self.leader.term, why=why)
        self.leader = None
        self._writer = None
        self.tail.pause_s = READ_PAUSE_S
        if self._append is not None:
            self._append.cancel()
            self._append = None

    async def _resign(self) -> None:
        leader, writer = self.leader, self._writer
        if leader is None or writer is None:
            return
        if self._append is not None:
            await self._append
        await writer.append(
            [self._leadership(leader.term, self._renewal, resigned=True)]
        )
        self._step_down("the entry stops")

    def _leadership(
        self, term: int, renewal: int, *, resigned: bool = False
    ) -> tuple[str, bytes | None]:
        record = Leadership(
            term, self.name, self.incarnation, renewal, resigned
        )
        return cell_records.LEADERSHIP, cell_records.encode(record)

    async def _run_rounds(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MAX_ROUND_S):
                    await self._wake.wait()
            self._wake.clear()
            if self._stopping:
                return
            if self.leader is not None:
                self._round(self.leader)
            elif self._watch.should_take_over(steady_s()):
                await self._take_over()
            await asyncio.sleep(MIN_ROUND_S)

    def _round(self, leader: CellLeader) -> None:
        now_s = steady_s()
        leader.tick(now_s, wall_ms())
        if self._append is None:
            self._begin_append(leader, now_s)
        may_grant = self._watch.may_grant(now_s)
        for vm, orders in leader.collect_orders(now_s, may_grant=may_grant):
            silent_s = now_s - max(vm.heard_at_s, vm.reconnected_at_s)
            if silent_s > lease_bounds.RECONNECT_AFTER_S:
                vm.reconnected_at_s = now_s
                self._mailbox.reconnect(vm.address)
            if vm.address:
                self._mailbox.send(vm.address, orders)
        for said in leader.explanations:
            self.logs.say(said.part, said.text, **said.fields)
            self.metrics.count("decisions", part=said.part)
        leader.explanations.clear()

    def _begin_append(self, leader: CellLeader, now_s: float) -> None:
        batch = leader.collect_batch()
        renew = now_s - self._renewed_at_s >= lease_bounds.RENEW_INTERVAL_S
        if renew:
            self._renewal += 1
            batch.records.append(self._leadership(leader.term, self._renewal))
        if now_s - self._pairs_kept_at_s > KEEP_PAIRS_EVERY_S:
            self._pairs_kept_at_s = now_s
            batch.records.extend(leader.maintenance.encode_pairs())
            batch.records.extend(
                leader.maintenance.expire_ended_jobs(self.view, now_s)
            )
        if not batch.records:
            if batch.end_acks:
                leader.commit(batch)
            return
        if renew:
            self._renewed_at_s = now_s
        self._append = asyncio.ensure_future(self._commit(leader, batch))

    async def _commit(self, leader: CellLeader, batch: CommitBatch) -> None:
        writer = self._writer
        if writer is None:
            return
        try:
            sent_at_s = await writer.append(batch.records)
        except StoreFencedError as error:
            self._append = None
            self._watch.on_fenced(leader.term)
            self._step_down(str(error))
            return
        self._append = None
        self.metrics.count("batches")
        self._watch.on_renewed(sent_at_s)
        if leader is self.leader:
            leader.commit(batch)
        self._wake.set()

    async def _run_advice(self) -> None:
        while True:
            leader, adviser = self.leader, self.adviser
            question = None
            now_s = steady_s()
            if leader is not None and adviser is not None:
                question = leader.adviser_queries.next_query(now_s, wall_ms())
            if leader is None or adviser is None or question is None:
                await asyncio.sleep(ADVICE_PAUSE_S)
                continue
            step, lives = question
            tickets = None
            try:
                tickets = await adviser.ask(
                    step_id(step), [life.worker_id for life in lives]
                )
            except YuccapointError as error:
                self.logs.say("place", "no advice", error=str(error))
                await asyncio.sleep(ADVICE_PAUSE_S)
            leader.adviser_queries.on_advice(step, lives, tickets, now_s)
            self._wake.set()

    async def _register(self) -> None:
        """Tell the other entries where this one is reached."""
        key = cell_records.ENTRY + self.name
        record = EntryMember(self.name, self.address, self.incarnation)
        while True:
            try:
                await self._store.append([(key, cell_records.encode(record))])
            except YuccapointError as error:
                self.logs.say("store", "not registered", error=str(error))
                await asyncio.sleep(REGISTER_RETRY_S)
                continue
            self.logs.say("store", "registered", entry=self.name)
            return

    def _on_message(self, message: CellMessage) -> None:
        if isinstance(message, RelayRequest):
            self._relay.on_request(message)
            return
        if isinstance(message, RelayAnswer):
            self._relay.on_answer(message)
            return
        if self.leader is None or not isinstance(message, VmReport):
            return
        self.leader.on_report(message, steady_s())
        self._wake.set()
