"""Chooses runs that hang, and runs that must leave a VM that drains."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell import lease_bounds

if TYPE_CHECKING:
    from yuccapoint.cell.job_run import TaskRun
    from yuccapoint.cell.vm_ledger import VmLedger

# A run that doesn't move for so many seconds hangs: at one percent a step,
# a run a tenth as fast as declared still moves more often.
STUCK_AFTER_S = 2.5


def find_stuck(vm: VmLedger, now_s: float) -> list[TaskRun]:
    """Give the runs on a VM that make no progress."""
    if not vm.claims or now_s - vm.heard_at_s > lease_bounds.FRESH_S:
        return []
    stuck = []
    for task in vm.claims.values():
        spec = task.step.spec
        if spec.lasting or spec.filling or spec.gang or task.stopping:
            continue
        if not task.seen_running:
            continue
        if now_s - task.progressed_at_s < STUCK_AFTER_S:
            continue
        stuck.append(task)
    return stuck


def find_leaving(vm: VmLedger, now_s: float) -> list[TaskRun]:
    """Give the runs that go on elsewhere, as their VM drains.

    What ends in time stays, and what would lose its progress.
    """
    leaving = []
    for task in vm.claims.values():
        if task.stopping or not task.seen_running:
            continue
        spec = task.step.spec
        left_s = vm.drain_until_s - now_s
        need_s = task.step.estimate_ms * (100 - task.percent) / 100_000
        if not spec.lasting and need_s < left_s:
            continue
        if not spec.lasting and not spec.saves_progress:
            continue
        leaving.append(task)
    return leaving
