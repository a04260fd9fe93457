"""An entry's decisions on batch work: leases, claims and lost VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.connection.messages import LeaseGrant
from yuccapoint.connection.messages import PairPriors
from yuccapoint.job import lease_rules
from yuccapoint.job.actions import Append
from yuccapoint.job.actions import Explain
from yuccapoint.job.actions import Send
from yuccapoint.job.claimer import Claimer
from yuccapoint.job.grant_contents import acknowledgements
from yuccapoint.job.grant_contents import due_starts
from yuccapoint.job.grant_contents import due_stops
from yuccapoint.job.grant_contents import end_record
from yuccapoint.job.grant_contents import is_current
from yuccapoint.job.grant_contents import start_grant
from yuccapoint.job.interference.pair_table import PairTable
from yuccapoint.job.interference.service_class import service_class
from yuccapoint.job.records import EntryLapsed
from yuccapoint.job.records import EntryRenewed
from yuccapoint.job.records import JobClaimed
from yuccapoint.job.records import JobFinished
from yuccapoint.job.records import JobRejected
from yuccapoint.job.records import JobReleased
from yuccapoint.job.records import VmAdopted
from yuccapoint.job.records import VmLost
from yuccapoint.job.vm_failure_detector import VmFailureDetector
from yuccapoint.job.vm_view import VmView

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from yuccapoint.connection.messages import AgentReport
    from yuccapoint.connection.messages import TaskReport
    from yuccapoint.job.actions import Action
    from yuccapoint.job.job_board import JobBoard
    from yuccapoint.job.records import Record
    from yuccapoint.job.vm_leadership import VmLeadership
    from yuccapoint.version.pool import Pool

MIN_LEASE_TTL_S = 0.2  # a shorter lease is neither granted nor used
VIEW_SWEEP_INTERVAL_S = 10.0
VIEW_RETENTION_S = 600.0


class BatchLeader:
    """Leads VMs: grants leases, claims jobs and releases lost VMs.

    Methods take messages and the current time and return actions. Only
    the log makes a decision final: the leader acts on its own claims when
    it reads them back.

    Parameters
    ----------
    entry : str
        Id of this entry with its incarnation.
    board : JobBoard
        State derived from the log.
    find_pool : callable
        Returns a pool by name.
    rng : random.Random
        Random number generator for placement.
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
        self.leadership_deadline_s = 0.0
        self._find_pool = find_pool
        self._rng = rng
        self._pending_adoptions: dict[str, int] = {}
        self._pending_ends: set[tuple[str, int]] = set()
        self._pending_losses: set[str] = set()
        self._pending_lapses: set[str] = set()
        self._renew_at_s = 0.0
        self._sweep_at_s = 0.0
        self._failure_detector = VmFailureDetector()
        self.pairs = PairTable()
        self._claimer = Claimer(
            entry, board, find_pool, rng, self._is_schedulable
        )

    def on_renewal_acked(self, sent_at_s: float) -> None:
        """Extend the leadership after the log acknowledged a renewal."""
        until_s = lease_rules.leadership_deadline_s(sent_at_s)
        self.leadership_deadline_s = max(self.leadership_deadline_s, until_s)

    def on_report(self, report: AgentReport, now_s: float) -> list[Action]:
        """Process an agent's report.

        Parameters
        ----------
        report : AgentReport
            State of the VM as its agent reports it.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of Action
            Records to append and messages to the agent, such as a lease.
        """
        view = self._update_view(report, now_s)
        if view is None:
            return []
        leadership = self.board.vms.get(report.vm)
        leads = leadership is not None and leadership.entry == self.entry
        if leadership is None or not leads or leadership.term != report.term:
            self._claimer.update_vm(view, now_s)
            if report.requested_leader == self.entry:
                return self._adopt(report, now_s)
            return []
        actions: list[Action] = []
        self._failure_detector.watch(view)
        self._append_task_ends(report, now_s, actions)
        self._claimer.update_vm(view, now_s)
        grant = self._grant(view, report, leadership, now_s)
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
            The record, already applied to the board.
        refusal : str
            Reason why the board refused the record; empty if accepted.
        now_s : float
            Monotonic time in seconds.
        """
        if isinstance(record, JobClaimed):
            return self._on_claim_decided(record, refusal, now_s)
        if isinstance(record, VmAdopted):
            self._on_adoption_decided(record, refusal, now_s)
        if isinstance(record, JobReleased | JobFinished):
            self._pending_ends.discard((record.job_id, record.attempt))
        if isinstance(record, VmLost):
            self._pending_losses.discard(record.vm)
            self.pairs.forget(record.vm)
        if isinstance(record, EntryLapsed):
            self._pending_lapses.discard(record.entry)
        if isinstance(record, JobRejected):
            self._claimer.on_rejected(record.job_id)
        return []

    def tick(self, now_s: float, wall_ms: int) -> list[Action]:
        """Renew the lease, release lost VMs and claim jobs.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        wall_ms : int
            Wall-clock time, compared with the stamps of the log.
        """
        actions: list[Action] = []
        if now_s >= self._renew_at_s:
            self._renew_at_s = now_s + lease_rules.RENEW_INTERVAL_S
            actions.append(Append(EntryRenewed(self.entry)))
        self._append_lost_vms(now_s, actions)
        self._append_lapsed_entries(wall_ms, actions)
        if self._may_claim(now_s):
            self._claimer.tick(now_s, wall_ms, actions)
        self._sweep_views(now_s)
        return actions

    @property
    def refused_claims(self) -> int:
        """Number of this entry's claims that the log refused."""
        return self._claimer.refused_claims

    def leads(self, vm: str) -> bool:
        """Return whether this entry leads a VM according to the log."""
        leadership = self.board.vms.get(vm)
        return leadership is not None and leadership.entry == self.entry

    def _update_view(self, report: AgentReport, now_s: float) -> VmView | None:
        view = self.views.get(report.vm)
        if view is None:
            view = VmView(report.vm)
            self.views[report.vm] = view
        if not view.apply(report, now_s):
            return None
        view.service = service_class(e.service for e in report.endpoints)
        view.pairs = self.pairs
        if report.pairs is not None:
            self.pairs.put(report.vm, report.incarnation, report.pairs)
        return view

    def _adopt(self, report: AgentReport, now_s: float) -> list[Action]:
        if not self._may_claim(now_s):
            return []
        if self._pending_adoptions.get(report.vm, 0) >= report.term:
            return []
        leadership = self.board.vms.get(report.vm)
        if leadership is not None and leadership.term >= report.term:
            return []
        self._pending_adoptions[report.vm] = report.term
        record = VmAdopted(
            report.vm,
            report.term,
            self.entry,
            report.pool,
            report.incarnation,
        )
        text = f"requests leadership of {report.vm}"
        fields: dict[str, str | int | float] = {
            "vm": report.vm,
            "term": report.term,
            "tasks": len(report.tasks),
        }
        return [Append(record), Explain("lease", text, fields)]

    def _on_adoption_decided(
        self, record: VmAdopted, refusal: str, now_s: float
    ) -> None:
        if self._pending_adoptions.get(record.vm, 0) <= record.term:
            self._pending_adoptions.pop(record.vm, None)
        if refusal or record.entry != self.entry:
            return
        view = self.views.setdefault(record.vm, VmView(record.vm))
        view.reported_at_s = now_s
        self._failure_detector.watch(view)
        # The previous leader may have granted a lease just before.
        view.granter_deadline_s = lease_rules.granter_deadline_s(
            now_s, lease_rules.VM_LEASE_S
        )

    def _append_task_ends(
        self, report: AgentReport, now_s: float, actions: list[Action]
    ) -> None:
        for task in report.tasks:
            if not task.outcome:
                continue
            key = (task.job_id, task.attempt)
            if key in self._pending_ends or not is_current(self.board, task):
                continue
            self._pending_ends.add(key)
            self._update_quarantine(report.vm, task, now_s, actions)
            actions.append(Append(end_record(task, report)))

    def _update_quarantine(
        self, vm: str, task: TaskReport, now_s: float, actions: list[Action]
    ) -> None:
        quarantine = self.views[vm].quarantine
        failed_before = bool(self.board.jobs[task.job_id].failures)
        if quarantine.on_task_end(task, now_s, failed_before=failed_before):
            left_s = round(quarantine.until_s - now_s, 1)
            text = f"quarantines {vm}: jobs keep failing on it"
            actions.append(
                Explain("place", text, {"vm": vm, "left_s": left_s})
            )

    def _sweep_views(self, now_s: float) -> None:
        if now_s < self._sweep_at_s:
            return
        self._sweep_at_s = now_s + VIEW_SWEEP_INTERVAL_S
        for vm, leadership in self.board.vms.items():
            if (
                leadership.entry == self.entry
                and vm not in self._pending_losses
            ):
                self._failure_detector.watch(self._get_or_add_view(vm, now_s))
        for vm, view in list(self.views.items()):
            if self.leads(vm) or now_s < view.reported_at_s + VIEW_RETENTION_S:
                continue
            del self.views[vm]
            self._claimer.forget_vm(vm)
            self.pairs.forget(vm)

    def _get_or_add_view(self, vm: str, now_s: float) -> VmView:
        view = self.views.get(vm)
        if view is None:
            view = VmView(vm)
            view.reported_at_s = now_s
            self.views[vm] = view
        return view

    def _grant(
        self,
        view: VmView,
        report: AgentReport,
        leadership: VmLeadership,
        now_s: float,
    ) -> LeaseGrant | None:
        left_s = self.leadership_deadline_s - now_s
        ttl_s = min(
            lease_rules.VM_LEASE_S,
            left_s / (1.0 + lease_rules.MAX_CLOCK_DRIFT_RATIO),
        )
        if ttl_s < MIN_LEASE_TTL_S or report.vm in self._pending_losses:
            return None
        until_s = lease_rules.granter_deadline_s(now_s, ttl_s)
        view.granter_deadline_s = max(view.granter_deadline_s, until_s)
        return LeaseGrant(
            entry=self.entry,
            vm=report.vm,
            term=report.term,
            reply_to=report.sequence,
            ttl_s=ttl_s,
            starts=due_starts(self.board, report, leadership),
            stops=due_stops(self.board, report),
            acknowledged=acknowledgements(self.board, report),
        )

    def _append_lost_vms(self, now_s: float, actions: list[Action]) -> None:
        for view in self._failure_detector.pop_failed(now_s):
            leadership = self.board.vms.get(view.vm)
            if leadership is None or leadership.entry != self.entry:
                continue
            if view.vm in self._pending_losses:
                continue
            self._pending_losses.add(view.vm)
            self._claimer.withdraw_vm(view.vm)
            reason = f"{view.vm} stopped reporting and its lease expired"
            record = VmLost(view.vm, leadership.term, self.entry, reason)
            fields: dict[str, str | int | float] = {
                "vm": view.vm,
                "tasks": len(leadership.job_ids),
                "silent_s": round(now_s - view.reported_at_s, 3),
            }
            actions.append(Append(record, urgent=True))
            actions.append(
                Explain(
                    "lease",
                    f"declares {view.vm} lost: its lease expired",
                    fields,
                )
            )

    def _append_lapsed_entries(
        self, wall_ms: int, actions: list[Action]
    ) -> None:
        for entry in [*self.board.renewed_ms, *self.board.left_ms]:
            if entry == self.entry or entry in self._pending_lapses:
                continue
            if not self.board.lease_expired(entry, wall_ms):
                continue
            self._pending_lapses.add(entry)
            actions.append(Append(EntryLapsed(entry)))

    def _may_claim(self, now_s: float) -> bool:
        return now_s <= self.leadership_deadline_s - lease_rules.VM_LEASE_S

    def _is_schedulable(self, view: VmView, now_s: float) -> bool:
        leadership = self.board.vms.get(view.vm)
        if (
            leadership is None
            or leadership.entry != self.entry
            or leadership.term != view.term
        ):
            return False
        if not view.ready or view.vm in self._pending_losses:
            return False
        if now_s > view.reported_at_s + lease_rules.LEADER_TIMEOUT_S:
            return False
        return view.quarantine.allows(now_s)

    def _on_claim_decided(
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
        if now_s + MIN_LEASE_TTL_S > view.granter_deadline_s:
            return []
        entry = self.board.jobs[record.job_id]
        grant = start_grant(self.entry, record, entry, view.report_sequence)
        return [Send(view.address, grant)]
