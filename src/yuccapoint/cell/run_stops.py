"""Chooses runs to stop because they stall or their VM drains."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell import lease_bounds

if TYPE_CHECKING:
    from yuccapoint.cell.task_run import TaskRun
    from yuccapoint.cell.vm_ledger import VmLedger

# A run without progress for this time has stalled. Progress is reported in
# whole percent, and a run at a tenth of its estimated speed advances sooner.
STALL_TIMEOUT_S = 2.5


def find_stalled(vm: VmLedger, now_s: float) -> list[TaskRun]:
    """Return the runs on a VM that make no progress."""
    if not vm.claims or now_s - vm.heard_at_s > lease_bounds.STALE_AFTER_S:
        return []
    stalled = []
    for task in vm.claims.values():
        spec = task.step.spec
        if spec.long_running or spec.best_effort or spec.gang or task.stopping:
            continue
        if not task.seen_running:
            continue
        if now_s - task.progressed_at_s < STALL_TIMEOUT_S:
            continue
        stalled.append(task)
    return stalled


def find_evacuations(vm: VmLedger, now_s: float) -> list[TaskRun]:
    """Return the runs to move to other VMs, as their VM drains.

    Runs that end in time stay, and so do runs that would lose progress.
    """
    evacuated = []
    for task in vm.claims.values():
        if task.stopping or not task.seen_running:
            continue
        spec = task.step.spec
        remaining_s = vm.drain_until_s - now_s
        required_s = task.step.estimate_ms * (100 - task.percent) / 100_000
        if not spec.long_running and required_s < remaining_s:
            continue
        if not spec.long_running and not spec.saves_progress:
            continue
        evacuated.append(task)
    return evacuated
