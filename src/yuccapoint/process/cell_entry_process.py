"""Entry of a cell: accepts jobs and leads the cell when elected."""

from __future__ import annotations

import asyncio
import contextlib
import time
import traceback
from typing import TYPE_CHECKING

import xxhash

from yuccapoint.cell.cell_leader import CellLeader
from yuccapoint.cell.cell_messages import CellMessage
from yuccapoint.cell.cell_records import Leadership
from yuccapoint.cell.cell_view import CellView
from yuccapoint.cell.entry_capacity import EntryCapacity
from yuccapoint.cell.former_leadership import FormerLeadership
from yuccapoint.cell.leader_election import LeaderElection
from yuccapoint.cell.record_dispatch import apply_record
from yuccapoint.connection.cell_store import StoreFencedError
from yuccapoint.connection.control_channel import ControlChannel
from yuccapoint.process.adviser_loop import AdviserLoop
from yuccapoint.process.cell_job_gateway import CellJobGateway
from yuccapoint.process.cell_tail import CellTail
from yuccapoint.process.cell_writer import CellWriter
from yuccapoint.process.decision_log import log_decisions
from yuccapoint.process.entry_registration import EntryRegistration
from yuccapoint.process.group_appender import GroupAppender
from yuccapoint.process.leader_batches import LeaderBatches
from yuccapoint.process.leader_inbox import LeaderInbox
from yuccapoint.process.leadership_renewals import LeadershipRenewals
from yuccapoint.process.peer_services import PeerServices
from yuccapoint.process.planning_pace import PlanningPace
from yuccapoint.process.steady_clock import steady_s
from yuccapoint.process.supervised_task import supervise
from yuccapoint.process.term_changes import TermChanges
from yuccapoint.process.term_statistics import TermStatistics
from yuccapoint.process.term_yield import TermYield

if TYPE_CHECKING:
    from yuccapoint.cell.cell_records import CellRecord
    from yuccapoint.cell.commit_batch import CommitBatch
    from yuccapoint.connection.cell_store import CellStore
    from yuccapoint.process.adviser_loop import AdviserPort
    from yuccapoint.process.metrics import Metrics
    from yuccapoint.process.process_logger import ProcessLogger

# Pauses between reads of the store in seconds: a leader has to schedule new
# jobs soon, the other entries only report their state.
LEADER_READ_PAUSE_S = 0.03
READ_PAUSE_S = 0.15
# Bounds of the time between two scheduling rounds, in seconds.
MIN_ROUND_S = 0.01
MAX_ROUND_S = 0.1
# The pause after a round is at least this multiple of the round's duration,
# so that rounds of a large cell leave time for reports and callers.
ROUND_PAUSE_RATIO = 1.0


class CellEntryProcess:
    """Connects job service, leader and store of one cell.

    Parameters
    ----------
    name, address : str
        Name of the entry, and its address for control messages.
    store : CellStore
        Records of the cell.
    logger : ProcessLogger
        Receives the log lines.
    metrics : Metrics
        Metrics of the process.
    capacity : EntryCapacity or None
        What its machine can carry, if known.

    Attributes
    ----------
    failed : asyncio.Event
        Set when a component failed; the process has to be restarted.
    """

    def __init__(
        self,
        name: str,
        address: str,
        store: CellStore,
        logger: ProcessLogger,
        metrics: Metrics,
        capacity: EntryCapacity | None = None,
    ) -> None:
        self.name = name
        self.address = address
        self.incarnation = time.time_ns()
        self.logger = logger
        self.metrics = metrics
        self.view = CellView()
        self.leader: CellLeader | None = None
        self._store = store
        stagger = xxhash.xxh32_intdigest(name.encode()) / 2**32
        self._leader_election = LeaderElection(name, self.incarnation, stagger)
        self._replacement = self._leader_election.replacement
        self._replacement.capacity = capacity or EntryCapacity()
        self._registration = EntryRegistration(
            store, name, address, self.incarnation, logger
        )
        self._registration.capacity = self._replacement.capacity
        self._replacement.follow_entries(self.view.entries)
        self._former_leadership = FormerLeadership()
        self.tail = CellTail(
            store, self.view, self._on_record, self._on_read, logger
        )
        self.tail.read_pause_s = READ_PAUSE_S
        self._control_channel = ControlChannel(
            address,
            self._on_message,
            logger.log,
            CellMessage,
            steady_s,
            self._on_reopened,
        )
        appender = GroupAppender(store)
        self._peer_services = PeerServices(
            name, self.view, self.tail, appender, self._control_channel, logger
        )
        self.job_gateway = CellJobGateway(
            self.view,
            self.tail,
            appender,
            self._peer_services.relay,
            self._peer_services.lookups,
            logger,
            metrics,
        )
        self._writer: CellWriter | None = None
        self._append_task: asyncio.Task[None] | None = None
        self._late_resignation: asyncio.Task[None] | None = None
        self._renewals = LeadershipRenewals(name, self.incarnation)
        self._term_changes = TermChanges(
            store, self._leader_election, self._renewals, logger
        )
        self._term_yield = TermYield(
            self._leader_election,
            self._renewals,
            self.tail,
            self.view,
            logger,
            metrics,
        )
        self._statistics = TermStatistics(
            self._control_channel, logger, metrics
        )
        self._planning_pace = PlanningPace()
        self._batches = LeaderBatches(self.view, self._renewals)
        self._wake = asyncio.Event()
        self._inbox = LeaderInbox(
            self._wake.set,
            self._control_channel.note_delivered,
            self._statistics,
        )
        self._adviser_loop = AdviserLoop(
            lambda: self.leader, self._wake.set, logger
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False
        self.failed = asyncio.Event()

    def use_adviser(self, adviser: AdviserPort | None) -> None:
        """Query an adviser for steps of queues that have one."""
        self._adviser_loop.adviser = adviser

    def start(self) -> None:
        """Start to read the store and to receive control messages."""
        self._control_channel.open()
        jobs = (
            self.tail.run(),
            self._registration.run(),
            self._run_rounds(),
            self._adviser_loop.run(),
        )
        for job in jobs:
            self._tasks.append(supervise(job, self.logger, self.failed))
        capacity = self._replacement.capacity
        self.logger.log(
            "entry",
            "started",
            incarnation=self.incarnation,
            at=self.address,
            millicores=capacity.millicores,
            link_kbps=capacity.link_kbps,
        )

    def use_capacity(self, capacity: EntryCapacity) -> None:
        """Tell the other entries of a change of the machine."""
        self._replacement.capacity = capacity
        self._registration.capacity = capacity
        self._tasks.append(
            supervise(self._registration.run(), self.logger, self.failed)
        )

    async def hand_over(self) -> None:
        """Resign leadership; callers are still answered."""
        self._stopping = True
        self.job_gateway.stopping = True
        self.logger.log("entry", "stopping", leads=self.leader is not None)
        await self._resign("the entry is stopping")

    def stop(self) -> None:
        """Stop all components."""
        for task in (*self._tasks, self._append_task, self._late_resignation):
            if task is not None:
                task.cancel()
        self._control_channel.close()

    def _on_record(self, record: CellRecord | None) -> None:
        if isinstance(record, Leadership):
            self._former_leadership.on_record(
                record, steady_s(), follows_last=not self.tail.is_loading
            )
        if self.leader is None or record is None:
            return
        if apply_record(self.leader, self.view, record, steady_s()):
            self._wake.set()

    def _on_read(self) -> None:
        now_s = steady_s()
        self._leader_election.on_records_read(
            self.view.leadership, now_s, at_end=self.tail.at_end
        )
        if self._leader_election.leads() and self.leader is None:
            self._start_leading(now_s)
        if not self._leader_election.leads() and self.leader is not None:
            self._step_down("another entry leads")
        if (
            self._leader_election.should_take_over(now_s)
            and not self._stopping
        ):
            self._wake.set()

    def _start_leading(self, now_s: float) -> None:
        term = self._leader_election.term
        # An answered takeover does not show whose record was first with its
        # term, and a stored one may be unanswered.
        self._writer = CellWriter(self._store, term, self.logger)
        self._writer.skip_takeover()
        former_grants = self._former_leadership.grants(now_s)
        leader = CellLeader(
            self.name, self.address, term, now_s, former_grants
        )
        leader.load(self.view, now_s)
        self.leader = leader
        loaded_at_s = steady_s()
        self._statistics.begin(loaded_at_s)
        self.tail.read_pause_s = LEADER_READ_PAUSE_S
        self._renewals.begin_term()
        self.metrics.count("takeovers")
        self.logger.log(
            "leader",
            "leadership acquired",
            term=leader.term,
            jobs=len(leader.jobs),
            vms=len(leader.vms),
            renewal_read_ms_ago=int(
                (now_s - former_grants.renewed_at_s) * 1000
            ),
            took_ms=int((loaded_at_s - now_s) * 1000),
        )
        if self._stopping:
            # The takeover was sent before the stop began.
            self._late_resignation = asyncio.ensure_future(
                self._resign("the entry is stopping")
            )
        self._wake.set()

    def _step_down(self, why: str) -> None:
        if self.leader is None:
            return
        self.logger.log(
            "leader", "stepping down", term=self.leader.term, why=why
        )
        self.leader = None
        self._leader_election.yields = False
        self._writer = None
        self.tail.read_pause_s = READ_PAUSE_S
        if self._append_task is not None:
            self._append_task.cancel()
            self._append_task = None

    async def _resign(self, why: str) -> None:
        leader, writer = self.leader, self._writer
        if leader is None or writer is None:
            return
        if await self._term_changes.resign(leader, writer, self._append_task):
            self._step_down(why)

    async def _run_rounds(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MAX_ROUND_S):
                    await self._wake.wait()
            self._wake.clear()
            if self._stopping:
                return
            pause_s = MIN_ROUND_S
            if self.leader is not None:
                started_at_s = steady_s()
                self._try_round(self.leader)
                spent_s = steady_s() - started_at_s
                self._statistics.on_round(spent_s)
                pause_s = max(pause_s, ROUND_PAUSE_RATIO * spent_s)
            elif self._leader_election.should_take_over(steady_s()):
                await self._term_changes.take_over()
            due_at_s = steady_s() + pause_s
            await asyncio.sleep(pause_s)
            self._statistics.on_pause(steady_s() - due_at_s)

    def _try_round(self, leader: CellLeader) -> None:
        """Run a round, and leave the term after an unexpected error.

        The process lives and answers callers. The leader of the next term,
        which may be this entry, loads the stored state anew.
        """
        try:
            self._run_round(leader)
        except Exception:  # noqa: BLE001
            self.metrics.count("failed_rounds")
            self.logger.log(
                "leader",
                "scheduling round failed; leaving the term",
                term=leader.term,
                error=traceback.format_exc(),
            )
            self._leader_election.on_fenced(leader.term)
            self._step_down("a scheduling round failed")

    def _run_round(self, leader: CellLeader) -> None:
        now_s = steady_s()
        self._term_yield.yield_or_keep(leader, now_s)
        if not self._planning_pace.tick(leader, now_s):
            self._wake.set()
        if self._append_task is None:
            self._start_append(leader, now_s)
        may_grant = self._leader_election.may_grant(now_s)
        due = leader.collect_orders(now_s, may_grant=may_grant)
        self._statistics.on_orders(len(due))
        for vm, orders in due:
            if vm.address:
                self._control_channel.send(vm.address, orders)
        log_decisions(leader.explanations, self.logger, self.metrics)
        self._statistics.log_if_due(
            leader.term,
            now_s,
            unread_s=self._leader_election.unread_renewals.lag_s(now_s),
            records_behind=self.tail.records_behind,
        )

    def _start_append(self, leader: CellLeader, now_s: float) -> None:
        batch = self._batches.collect(leader, now_s)
        if not batch.records:
            if batch.end_acks:
                leader.commit(batch)
            return
        self._append_task = asyncio.ensure_future(self._commit(leader, batch))

    async def _commit(self, leader: CellLeader, batch: CommitBatch) -> None:
        writer = self._writer
        if writer is None:
            return
        try:
            sent_at_s = await writer.append(batch.records)
        except StoreFencedError as error:
            self._append_task = None
            self._leader_election.on_fenced(leader.term)
            self._step_down(str(error))
            return
        self._append_task = None
        self.metrics.count("batches")
        stored_at_s = steady_s()
        self._renewals.on_stored(sent_at_s, stored_at_s)
        self._statistics.on_stored(stored_at_s - sent_at_s, len(batch.claims))
        if batch.silent_vms is not None:
            # The next leader counts leases from the renewals only.
            self._leader_election.on_renewed(sent_at_s)
            self._leader_election.unread_renewals.on_stored(
                leader.term, self._renewals.renewal, stored_at_s
            )
        if leader is self.leader:
            leader.commit(batch)
        self._wake.set()

    def _on_reopened(self, address: str) -> None:
        """Repeat the orders that a silent connection may have lost."""
        if self.leader is not None:
            self.leader.repeat_orders(address)
            self._wake.set()

    def _on_message(self, message: CellMessage) -> None:
        if self._peer_services.handle(message) or self.leader is None:
            return
        self._inbox.handle(self.leader, message)
