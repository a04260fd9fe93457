"""Moves best-effort work off VMs on which it is throttled for long."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.placement_costs import total_cost
from yuccapoint.cell.vm_candidate import VmCandidate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccapoint.cell.interference_model import InterferenceModel
    from yuccapoint.cell.job_run import TaskRun
    from yuccapoint.cell.vm_ledger import VmLedger

# A run that uses less than this share of its processors is throttled.
THROTTLED_CPU_SHARE = 0.2
# A run is moved after being throttled for this time, which is longer than
# a peak of a service's load usually lasts.
MAX_THROTTLED_S = 3.5
# Interval between moves from a VM, so that the effect of one shows first.
MOVE_INTERVAL_S = 2.5
# Cost difference in shares of a VM that justifies a move.
MIN_MOVE_GAIN = 0.5
# Run time that a move costs; runs with less remaining work stay.
MOVE_COST_S = 1.0


def find_throttled_moves(
    vms: Iterable[VmLedger], interference: InterferenceModel, now_s: float
) -> list[TaskRun]:
    """Choose throttled runs that another VM suits better.

    An image may interfere with the services of one VM so much that it
    hardly runs there, but not with those of another VM.

    Parameters
    ----------
    vms : iterable of VmLedger
        All VMs.
    interference : InterferenceModel
        Estimates of the interference between images.
    now_s : float
        Steady time in seconds.
    """
    open_vms = [vm for vm in vms if vm.is_open(now_s)]
    moves = []
    candidates: dict[str, VmCandidate] | None = None
    for vm in open_vms:
        if now_s - vm.moved_at_s < MOVE_INTERVAL_S:
            continue
        throttled = [t for t in vm.claims.values() if _is_throttled(t, now_s)]
        if not throttled:
            continue
        if candidates is None:
            candidates = {
                v.name: VmCandidate(v, interference) for v in open_vms
            }
        for task in throttled:
            if _has_better_vm(
                task, candidates[vm.name], list(candidates.values())
            ):
                vm.moved_at_s = now_s
                moves.append(task)
                break
    return moves


def _is_throttled(task: TaskRun, now_s: float) -> bool:
    if not task.is_movable or not task.throttled_since_s:
        return False
    remaining_s = task.step.estimate_ms / 1000 * (100 - task.percent) / 100
    throttled_s = now_s - task.throttled_since_s
    return throttled_s > MAX_THROTTLED_S and remaining_s > MOVE_COST_S


def track_throttling(task: TaskRun, now_s: float) -> None:
    """Record since when a best-effort run is throttled."""
    spec = task.step.spec
    if not spec.best_effort:
        return
    if task.load >= THROTTLED_CPU_SHARE * spec.size.millicores:
        task.throttled_since_s = 0.0
    elif not task.throttled_since_s:
        task.throttled_since_s = now_s


def _has_better_vm(
    task: TaskRun, current: VmCandidate, candidates: list[VmCandidate]
) -> bool:
    spec = task.step.spec
    cost_here = total_cost(task, current)
    worker = current.ledger.worker
    pool = None if worker is None else worker.pool
    for candidate in candidates:
        other = candidate.ledger.worker
        if candidate is current or other is None or other.pool != pool:
            continue
        if not candidate.can_run(spec):
            continue
        if total_cost(task, candidate) + MIN_MOVE_GAIN < cost_here:
            candidate.place(spec, id(task.step))
            return True
    return False
