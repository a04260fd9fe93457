"""An entry's decisions on batch work: leases, claims, lost VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.connection.messages import AttemptAcknowledged
from yuccapoint.connection.messages import LeaseGrant
from yuccapoint.connection.messages import PairPriors
from yuccapoint.connection.messages import StartAttempt
from yuccapoint.connection.messages import StopAttempt
from yuccapoint.job import lease_rules
from yuccapoint.job.actions import Append
from yuccapoint.job.actions import Explain
from yuccapoint.job.actions import Send
from yuccapoint.job.claimer import Claimer
from yuccapoint.job.interference.pair_table import PairTable
from yuccapoint.job.interference.service_class import service_class
from yuccapoint.job.job_entry import JobState
from yuccapoint.job.records import EntryLapsed
from yuccapoint.job.records import EntryRenewed
from yuccapoint.job.records import JobClaimed
from yuccapoint.job.records import JobFinished
from yuccapoint.job.records import JobRejected
from yuccapoint.job.records import JobReleased
from yuccapoint.job.records import VmAdopted
from yuccapoint.job.records import VmLost
from yuccapoint.job.silence_watch import SilenceWatch
from yuccapoint.job.vm_view import VmView

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from yuccapoint.connection.messages import AgentReport
    from yuccapoint.connection.messages import TaskReport
    from yuccapoint.job.actions import Action
    from yuccapoint.job.job_board import JobBoard
    from yuccapoint.job.job_board import VmLeadership
    from yuccapoint.job.records import Record
    from yuccapoint.version.pool import Pool

MIN_TTL_S = 0.2
SWEEP_EVERY_S = 10.0
FORGET_AFTER_S = 600.0


class BatchLeader:
    """Leads VMs: grants their leases, claims jobs for them, frees them.

    Methods take messages and the time and return actions. What is decided
    for good is decided by the log: the leader acts on its own claims only
    when it reads them back.

    Parameters
    ----------
    entry : str
        This entry's id with its incarnation.
    board : JobBoard
        The state that the log's prefix gives.
    find_pool : callable
        Gives a pool by name.
    rng : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        entry: str,
        board: JobBoard,
        find_pool: Callable[[str], Pool | None],
        rng: random.Random,
    ) -> None:
        self.entry = entry
        self.board = board
        self.views: dict[str, VmView] = {}
        self.lead_until_s = 0.0
        self._find_pool = find_pool
        self._rng = rng
        self._adopting: dict[str, int] = {}
        self._ending: set[tuple[str, int]] = set()
        self._losing: set[str] = set()
        self._lapsing: set[str] = set()
        self._renew_at_s = 0.0
        self._sweep_at_s = 0.0
        self._silence = SilenceWatch()
        self.pairs = PairTable()
        self._claimer = Claimer(entry, board, find_pool, rng, self._is_open)

    def on_renewal_acked(self, sent_at_s: float) -> None:
        """Extend the right to lead after a renewal reached the log."""
        until_s = lease_rules.lead_until_s(sent_at_s)
        self.lead_until_s = max(self.lead_until_s, until_s)

    def on_report(self, report: AgentReport, now_s: float) -> list[Action]:
        """Answer an agent's report.

        Parameters
        ----------
        report : AgentReport
            What the agent says of its VM.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of Action
            Records to append and the lease to grant.
        """
        view = self._view(report, now_s)
        if view is None:
            return []
        led = self.board.vms.get(report.vm)
        leads = led is not None and led.entry == self.entry
        if led is None or not leads or led.term != report.term:
            self._claimer.offer_vm(view, now_s)
            if report.requested_leader == self.entry:
                return self._adopt(report, now_s)
            return []
        actions: list[Action] = []
        self._silence.watch(view)
        self._take_ended(report, now_s, actions)
        self._claimer.offer_vm(view, now_s)
        grant = self._grant(view, report, led, now_s)
        if grant is not None:
            actions.append(Send(report.control_address, grant))
        if report.pairs is not None and report.pairs.wants_priors:
            priors = PairPriors(
                vm=report.vm, pairs=self.pairs.priors(view.service)
            )
            actions.append(Send(report.control_address, priors))
        return actions

    def on_record(
        self, record: Record, refusal: str, now_s: float
    ) -> list[Action]:
        """Act on a record that was read from the log.

        Parameters
        ----------
        record : Record
            The record, applied to the board before.
        refusal : str
            Empty when the board accepted it.
        now_s : float
            Monotonic time in seconds.
        """
        if isinstance(record, JobClaimed):
            return self._claim_decided(record, refusal, now_s)
        if isinstance(record, VmAdopted):
            self._adoption_decided(record, refusal, now_s)
        if isinstance(record, JobReleased | JobFinished):
            self._ending.discard((record.job_id, record.attempt))
        if isinstance(record, VmLost):
            self._losing.discard(record.vm)
            self.pairs.forget(record.vm)
        if isinstance(record, EntryLapsed):
            self._lapsing.discard(record.entry)
        if isinstance(record, JobRejected):
            self._claimer.on_rejected(record.job_id)
        return []

    def tick(self, now_s: float, wall_ms: int) -> list[Action]:
        """Renew, free lost VMs and claim jobs.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        wall_ms : int
            Wall-clock time, which the log's stamps are compared with.
        """
        actions: list[Action] = []
        if now_s >= self._renew_at_s:
            self._renew_at_s = now_s + lease_rules.RENEW_EVERY_S
            actions.append(Append(EntryRenewed(self.entry)))
        self._free_lost_vms(now_s, actions)
        self._free_lapsed_entries(wall_ms, actions)
        if self._may_claim(now_s):
            self._claimer.tick(now_s, wall_ms, actions)
        self._sweep(now_s)
        return actions

    @property
    def refused_claims(self) -> int:
        """How many of this entry's claims the log refused."""
        return self._claimer.refused_claims

    def leads(self, vm: str) -> bool:
        """Tell whether the log says that this entry leads a VM."""
        led = self.board.vms.get(vm)
        return led is not None and led.entry == self.entry

    def _view(self, report: AgentReport, now_s: float) -> VmView | None:
        view = self.views.get(report.vm)
        if view is None:
            view = VmView(report.vm)
            self.views[report.vm] = view
        if report.incarnation < view.incarnation:
            return None
        if report.incarnation > view.incarnation:
            view.incarnation = report.incarnation
            view.report_sequence = 0
        if report.sequence < view.report_sequence:
            return None
        view.report_sequence = report.sequence
        view.reported_at_s = now_s
        view.pool = report.pool
        view.rack = report.rack
        view.data_centre = report.data_centre
        view.address = report.control_address
        view.capacity = report.capacity
        view.reported_free = report.free
        view.ready = report.ready and not report.stopping
        view.term = report.term
        view.attempts = {t.job_id: t.attempt for t in report.tasks}
        view.service = service_class(e.service for e in report.endpoints)
        view.pairs = self.pairs
        if report.pairs is not None:
            self.pairs.put(report.vm, report.incarnation, report.pairs)
        return view

    def _adopt(self, report: AgentReport, now_s: float) -> list[Action]:
        if not self._may_claim(now_s):
            return []
        if self._adopting.get(report.vm, 0) >= report.term:
            return []
        led = self.board.vms.get(report.vm)
        if led is not None and led.term >= report.term:
            return []
        self._adopting[report.vm] = report.term
        record = VmAdopted(
            report.vm,
            report.term,
            self.entry,
            report.pool,
            report.incarnation,
        )
        text = f"asked to lead {report.vm}"
        fields: dict[str, str | int | float] = {
            "vm": report.vm,
            "term": report.term,
            "tasks": len(report.tasks),
        }
        return [Append(record), Explain("lease", text, fields)]

    def _adoption_decided(
        self, record: VmAdopted, refusal: str, now_s: float
    ) -> None:
        if self._adopting.get(record.vm, 0) <= record.term:
            self._adopting.pop(record.vm, None)
        if refusal or record.entry != self.entry:
            return
        view = self.views.setdefault(record.vm, VmView(record.vm))
        view.reported_at_s = now_s
        self._silence.watch(view)
        # An earlier leader may have granted a lease just before.
        view.granted_until_s = lease_rules.granted_until_s(
            now_s, lease_rules.VM_LEASE_S
        )

    def _take_ended(
        self, report: AgentReport, now_s: float, actions: list[Action]
    ) -> None:
        for task in report.tasks:
            if not task.outcome:
                continue
            key = (task.job_id, task.attempt)
            if key in self._ending or not self._holds(task):
                continue
            self._ending.add(key)
            self._judge(report.vm, task, now_s, actions)
            if task.outcome == "done":
                done = JobFinished(task.job_id, task.attempt, report.term)
                actions.append(Append(done))
                continue
            record = JobReleased(
                task.job_id,
                task.attempt,
                report.term,
                f"{task.outcome} on {report.vm}: {task.reason}",
                task.checkpoint,
                task.outcome == "failed",
            )
            actions.append(Append(record))

    def _judge(
        self, vm: str, task: TaskReport, now_s: float, actions: list[Action]
    ) -> None:
        trust = self.views[vm].trust
        if task.outcome == "done":
            trust.on_done()
            return
        failed_before = self.board.jobs[task.job_id].failures
        if task.outcome != "failed" or failed_before:
            trust.on_over(task.job_id)
            return
        if trust.on_failed(task.job_id, now_s):
            left_s = round(trust.until_s - now_s, 1)
            text = f"quarantined {vm}: it fails what it starts"
            actions.append(
                Explain("place", text, {"vm": vm, "left_s": left_s})
            )

    def _sweep(self, now_s: float) -> None:
        if now_s < self._sweep_at_s:
            return
        self._sweep_at_s = now_s + SWEEP_EVERY_S
        for vm, led in self.board.vms.items():
            if led.entry == self.entry and vm not in self._losing:
                self._silence.watch(self._known_view(vm, now_s))
        for vm, view in list(self.views.items()):
            if self.leads(vm) or now_s < view.reported_at_s + FORGET_AFTER_S:
                continue
            del self.views[vm]
            self._claimer.forget_vm(vm)
            self.pairs.forget(vm)

    def _known_view(self, vm: str, now_s: float) -> VmView:
        view = self.views.get(vm)
        if view is None:
            view = VmView(vm)
            view.reported_at_s = now_s
            self.views[vm] = view
        return view

    def _holds(self, task: TaskReport) -> bool:
        entry = self.board.jobs.get(task.job_id)
        if entry is None or entry.state is not JobState.RUNNING:
            return False
        return entry.attempt == task.attempt

    def _grant(
        self,
        view: VmView,
        report: AgentReport,
        led: VmLeadership,
        now_s: float,
    ) -> LeaseGrant | None:
        left_s = self.lead_until_s - now_s
        ttl_s = min(
            lease_rules.VM_LEASE_S, left_s / (1.0 + lease_rules.CLOCK_DRIFT)
        )
        if ttl_s < MIN_TTL_S or report.vm in self._losing:
            return None
        until_s = lease_rules.granted_until_s(now_s, ttl_s)
        view.granted_until_s = max(view.granted_until_s, until_s)
        return LeaseGrant(
            entry=self.entry,
            vm=report.vm,
            term=report.term,
            reply_to=report.sequence,
            ttl_s=ttl_s,
            starts=self._starts(report, led),
            stops=self._stops(report),
            acknowledged=self._noted(report),
        )

    def _starts(
        self, report: AgentReport, led: VmLeadership
    ) -> list[StartAttempt]:
        known = {task.job_id: task.attempt for task in report.tasks}
        starts = []
        room = report.free
        for job_id in sorted(led.job_ids):
            entry = self.board.jobs[job_id]
            if known.get(job_id, 0) >= entry.attempt:
                continue
            if not entry.job.size.fits(room):
                continue
            room = room - entry.job.size
            starts.append(
                StartAttempt(
                    entry.job, entry.attempt, entry.checkpoint, entry.term
                )
            )
        return starts

    def _stops(self, report: AgentReport) -> list[StopAttempt]:
        stops = []
        for task in report.tasks:
            if task.outcome:
                continue
            if not self._holds(task):
                stops.append(
                    StopAttempt(task.job_id, task.attempt, "superseded")
                )
                continue
            if self.board.jobs[task.job_id].cancelling:
                stops.append(
                    StopAttempt(task.job_id, task.attempt, "cancelled")
                )
        return stops

    def _noted(self, report: AgentReport) -> list[AttemptAcknowledged]:
        return [
            AttemptAcknowledged(task.job_id, task.attempt)
            for task in report.tasks
            if task.outcome and not self._holds(task)
        ]

    def _free_lost_vms(self, now_s: float, actions: list[Action]) -> None:
        for view in self._silence.silent(now_s):
            led = self.board.vms.get(view.vm)
            if led is None or led.entry != self.entry:
                continue
            if view.vm in self._losing:
                continue
            self._losing.add(view.vm)
            self._claimer.withdraw_vm(view.vm)
            reason = f"{view.vm} is silent and its lease has run out"
            record = VmLost(view.vm, led.term, self.entry, reason)
            fields: dict[str, str | int | float] = {
                "vm": view.vm,
                "tasks": len(led.job_ids),
                "silent_s": round(now_s - view.reported_at_s, 3),
            }
            actions.append(Append(record, urgent=True))
            actions.append(Explain("lease", f"lost {view.vm}", fields))

    def _free_lapsed_entries(
        self, wall_ms: int, actions: list[Action]
    ) -> None:
        for entry in [*self.board.renewed_ms, *self.board.left_ms]:
            if entry == self.entry or entry in self._lapsing:
                continue
            if not self.board.lease_passed(entry, wall_ms):
                continue
            self._lapsing.add(entry)
            actions.append(Append(EntryLapsed(entry)))

    def _may_claim(self, now_s: float) -> bool:
        return now_s <= self.lead_until_s - lease_rules.VM_LEASE_S

    def _is_open(self, view: VmView, now_s: float) -> bool:
        led = self.board.vms.get(view.vm)
        if led is None or led.entry != self.entry or led.term != view.term:
            return False
        if not view.ready or view.vm in self._losing:
            return False
        if now_s > view.reported_at_s + lease_rules.LEADER_SILENT_S:
            return False
        return view.trust.allows(now_s)

    def _claim_decided(
        self, record: JobClaimed, refusal: str, now_s: float
    ) -> list[Action]:
        if record.entry != self.entry:
            return []
        view = self._claimer.on_decided(record, refusal, now_s)
        if refusal:
            text = f"claim of {record.job_id} refused: {refusal}"
            return [Explain("place", text, {"job": record.job_id})]
        if view is None:
            return []
        return self._push_start(record, view, now_s)

    def _push_start(
        self, record: JobClaimed, view: VmView, now_s: float
    ) -> list[Action]:
        if now_s + MIN_TTL_S > view.granted_until_s:
            return []
        entry = self.board.jobs[record.job_id]
        start = StartAttempt(
            entry.job, entry.attempt, entry.checkpoint, entry.term
        )
        grant = LeaseGrant(
            entry=self.entry,
            vm=record.vm,
            term=record.term,
            reply_to=view.report_sequence,
            ttl_s=0.0,
            starts=[start],
            stops=[],
            acknowledged=[],
        )
        return [Send(view.address, grant)]
