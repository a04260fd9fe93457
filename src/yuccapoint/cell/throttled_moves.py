"""Moves filling work away from where it is slowed down for long."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.placement_costs import total_cost
from yuccapoint.cell.vm_candidate import VmCandidate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccapoint.cell.interference_model import InterferenceModel
    from yuccapoint.cell.job_run import TaskRun
    from yuccapoint.cell.vm_ledger import VmLedger

# A run below this share of its processors is slowed down by the guard.
THROTTLED_CPU_SHARE = 0.2
# It is moved after being slowed down for so many seconds: longer than the
# peak of a service's load usually lasts.
MAX_THROTTLED_S = 3.5
# One move from a VM in so many seconds, so that its effect shows first.
MOVE_INTERVAL_S = 2.5
# The other VM has to be better by this much, in shares of a VM.
MIN_MOVE_GAIN = 0.5
# Run time that a move costs in seconds; shorter work stays.
MOVE_COST_S = 1.0


def find_throttled_moves(
    vms: Iterable[VmLedger], interference: InterferenceModel, now_s: float
) -> list[TaskRun]:
    """Choose slowed runs that are better off elsewhere.

    Answers a load in which an image disturbs the services of one VM so
    much that it hardly runs there, and those of another VM not at all.

    Parameters
    ----------
    vms : iterable of VmLedger
        All VMs.
    interference : InterferenceModel
        What is known of images that disturb each other.
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
    left_s = task.step.estimate_ms / 1000 * (100 - task.percent) / 100
    throttled_s = now_s - task.throttled_since_s
    return throttled_s > MAX_THROTTLED_S and left_s > MOVE_COST_S


def track_throttling(task: TaskRun, now_s: float) -> None:
    """Note whether a filling run is slowed down at this report."""
    spec = task.step.spec
    if not spec.best_effort:
        return
    if task.load >= THROTTLED_CPU_SHARE * spec.size.millicores:
        task.throttled_since_s = 0.0
    elif not task.throttled_since_s:
        task.throttled_since_s = now_s


def _has_better_vm(
    task: TaskRun, here: VmCandidate, candidates: list[VmCandidate]
) -> bool:
    spec = task.step.spec
    cost_here = total_cost(task, here)
    worker = here.ledger.worker
    pool = None if worker is None else worker.pool
    for candidate in candidates:
        other = candidate.ledger.worker
        if candidate is here or other is None or other.pool != pool:
            continue
        if not candidate.can_run(spec):
            continue
        if total_cost(task, candidate) + MIN_MOVE_GAIN < cost_here:
            candidate.place(spec, id(task.step))
            return True
    return False
