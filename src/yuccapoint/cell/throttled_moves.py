"""Moves best-effort runs to VMs on which they end sooner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.fitting_vms import FittingVms
from yuccapoint.cell.vm_candidate import VmCandidate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccapoint.cell.fitting_vms import Kind
    from yuccapoint.cell.interference_model import InterferenceModel
    from yuccapoint.cell.task_run import TaskRun
    from yuccapoint.cell.vm_ledger import VmLedger

# A run is not moved before this time, in which its speed is measured. It
# doubles with each move of the task.
MIN_RUN_TIME_S = 1.5
# Interval between moves from a VM, so that the effect of one shows first.
MOVE_INTERVAL_S = 0.5
# Limit of the runs being moved at a time.
MAX_MOVES_AT_ONCE = 6
# Time that a move costs: the stop, two appends to the store, the start and
# the restore of the checkpoint.
MOVE_COST_S = 1.0
# Time that a move has to gain, as speeds are rough and change.
MIN_GAIN_S = 1.5
# A run of this speed is not worth a move.
MAX_SPEED_MOVED = 0.7
# Speed that a run is expected to have at least in the long term.
MIN_SPEED = 0.1


def find_throttled_moves(
    vms: Iterable[VmLedger],
    interference: InterferenceModel,
    now_s: float,
    tried_kinds: set[Kind],
) -> list[TaskRun]:
    """Choose slow runs that end sooner on another VM.

    A step ends with its last task. One run that is throttled beside a busy
    service delays all of a wide step, while other VMs have room.

    Parameters
    ----------
    vms : iterable of VmLedger
        All VMs.
    interference : InterferenceModel
        Estimates of the interference between images.
    now_s : float
        Steady time in seconds.
    tried_kinds : set of Kind
        Kinds of tasks of earlier checks; updated.
    """
    open_vms = [vm for vm in vms if vm.is_open(now_s)]
    budget = MAX_MOVES_AT_ONCE
    slow: list[tuple[float, TaskRun, VmLedger]] = []
    for vm in open_vms:
        for task in vm.claims.values():
            if task.stopping:
                budget -= 1
            elif _is_slow(task, now_s):
                slow.append((-_time_left_s(task, task.speed), task, vm))
    if not slow or budget <= 0:
        return []
    slow.sort(key=lambda entry: entry[0])
    fitting_vms = FittingVms(
        [VmCandidate(vm, interference) for vm in open_vms],
        MIN_SPEED,
        tried_kinds,
    )
    moves: list[TaskRun] = []
    for _, task, vm in slow:
        if len(moves) >= budget:
            break
        if now_s - vm.moved_at_s < MOVE_INTERVAL_S:
            continue
        if not _place_elsewhere(task, vm, fitting_vms):
            continue
        vm.moved_at_s = now_s
        task.moves += 1
        task.left_vm = vm.name
        moves.append(task)
    fitting_vms.end()
    return moves


def track_speed(task: TaskRun) -> None:
    """Update the speed of a best-effort run from its latest report."""
    spec = task.step.spec
    if not spec.best_effort or not spec.size.millicores:
        return
    used = min(1.0, task.load / spec.size.millicores)
    task.speed += (used - task.speed) / 2


def _is_slow(task: TaskRun, now_s: float) -> bool:
    if not task.is_movable or task.speed > MAX_SPEED_MOVED:
        return False
    min_run_time_s = MIN_RUN_TIME_S * (1 << task.moves)
    return now_s - task.started_at_s > min_run_time_s


def _time_left_s(task: TaskRun, speed: float) -> float:
    work_s = task.step.estimate_ms * (100 - task.percent) / 100_000
    return work_s / max(MIN_SPEED, speed)


def _place_elsewhere(
    task: TaskRun, vm: VmLedger, fitting_vms: FittingVms
) -> bool:
    """Reserve room on a VM where the run ends sooner, if there is one."""
    max_there_s = _time_left_s(task, task.speed) - MIN_GAIN_S
    if _time_there_s(task, fitting_vms.max_speed) >= max_there_s:
        return False
    for candidate in fitting_vms.find(task.step):
        if candidate.ledger is vm:
            continue
        if _time_there_s(task, candidate.expected_speed) >= max_there_s:
            return False
        fitting_vms.place(task.step, candidate)
        return True
    return False


def _time_there_s(task: TaskRun, speed: float) -> float:
    return MOVE_COST_S + _time_left_s(task, speed)
