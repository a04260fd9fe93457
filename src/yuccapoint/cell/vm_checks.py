"""Regular checks of all VMs of a cell."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell import lease_bounds
from yuccapoint.cell.run_stops import find_evacuations
from yuccapoint.cell.run_stops import find_stalled
from yuccapoint.cell.throttled_moves import find_throttled_moves

if TYPE_CHECKING:
    from yuccapoint.cell.cell_leader import CellLeader
    from yuccapoint.cell.fitting_vms import Kind
    from yuccapoint.cell.report_handler import ReportHandler
    from yuccapoint.cell.vm_ledger import VmLedger

# Placements follow within a round; these checks may wait, as they visit all
# VMs.
CHECK_INTERVAL_S = 0.1


class VmChecks:
    """Finds expired leases, and runs to stop or to move.

    Parameters
    ----------
    leader : CellLeader
        Leader whose VMs are checked.
    report_handler : ReportHandler
        Releases the tasks of VMs whose lease has expired.
    """

    __slots__ = (
        "_checked_at_s",
        "_leader",
        "_report_handler",
        "_tried_kinds",
    )

    def __init__(
        self, leader: CellLeader, report_handler: ReportHandler
    ) -> None:
        self._leader = leader
        self._report_handler = report_handler
        self._checked_at_s = 0.0
        # Kinds of tasks for which moves were looked for in vain.
        self._tried_kinds: set[Kind] = set()

    def run(self, now_s: float) -> None:
        """Check all VMs if the interval has passed."""
        if now_s - self._checked_at_s < CHECK_INTERVAL_S:
            return
        self._checked_at_s = now_s
        vms = self._leader.vms
        for vm in vms.values():
            self._check(vm, now_s)
        for task in find_throttled_moves(
            vms.values(),
            self._leader.interference,
            now_s,
            self._tried_kinds,
        ):
            self._leader.stop(task, "the run is throttled on this VM", now_s)

    def _check(self, vm: VmLedger, now_s: float) -> None:
        leader = self._leader
        self._check_orders(vm, now_s)
        if vm.claims and now_s > vm.leased_until_s:
            self._report_handler.release_claims(
                vm, "the VM's lease expired", now_s
            )
            vm.worker = None
            vm.runs_listed = False
        for task in find_stalled(vm, now_s):
            leader.stop(task, "the run makes no progress", now_s)
            task.failed_on.add(vm.name)
            job_id = task.step.occurrence.job.submission.job_id
            if vm.record_failure(job_id, now_s):
                leader.explain(
                    "vm",
                    "quarantined, as its runs make no progress",
                    vm=vm.name,
                    for_ms=int(1000 * (vm.quarantined_until_s - now_s)),
                )
        if vm.worker is None or not vm.worker.draining:
            return
        for task in find_evacuations(vm, now_s):
            leader.stop(task, "the VM is draining", now_s)

    def _check_orders(self, vm: VmLedger, now_s: float) -> None:
        unconfirmed_s = vm.unconfirmed_s(now_s)
        deaf = unconfirmed_s >= lease_bounds.UNCONFIRMED_AFTER_S
        if deaf == vm.deaf:
            return
        vm.deaf = deaf
        text = "confirms orders again"
        if deaf:
            text = "confirms no orders; it gets no new work"
        self._leader.explain(
            "vm",
            text,
            vm=vm.name,
            unconfirmed_ms=int(unconfirmed_s * 1000),
        )
