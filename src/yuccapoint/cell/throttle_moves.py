"""Moves filling work away from where it is slowed down for long."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.placement_costs import total_cost
from yuccapoint.cell.vm_room import VmRoom

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccapoint.cell.disturbance_watch import DisturbanceWatch
    from yuccapoint.cell.job_run import TaskRun
    from yuccapoint.cell.vm_ledger import VmLedger

# A run below this share of its processors is slowed down by the guard.
SLOWED_SHARE = 0.2
# It is moved after being slowed down for so many seconds: longer than the
# peak of a service's load usually lasts.
SLOWED_FOR_S = 3.5
# One move from a VM in so many seconds, so that its effect shows first.
MOVE_EVERY_S = 2.5
# The other VM has to be better by this much, in shares of a VM.
LEAST_GAIN = 0.5
# Run time that a move costs in seconds; shorter work stays.
MOVE_COST_S = 1.0


def find_moves(
    vms: Iterable[VmLedger], disturbances: DisturbanceWatch, now_s: float
) -> list[TaskRun]:
    """Choose slowed runs that are better off elsewhere.

    Answers a load in which an image disturbs the services of one VM so
    much that it hardly runs there, and those of another VM not at all.

    Parameters
    ----------
    vms : iterable of VmLedger
        All VMs.
    disturbances : DisturbanceWatch
        What is known of images that disturb each other.
    now_s : float
        Steady time in seconds.
    """
    open_vms = [vm for vm in vms if vm.is_open(now_s)]
    moves = []
    rooms: dict[str, VmRoom] | None = None
    for vm in open_vms:
        if now_s - vm.moved_at_s < MOVE_EVERY_S:
            continue
        slowed = [t for t in vm.claims.values() if _is_slowed(t, now_s)]
        if not slowed:
            continue
        if rooms is None:
            rooms = {v.name: VmRoom(v, disturbances) for v in open_vms}
        for task in slowed:
            if _has_better(task, rooms[vm.name], list(rooms.values())):
                vm.moved_at_s = now_s
                moves.append(task)
                break
    return moves


def _is_slowed(task: TaskRun, now_s: float) -> bool:
    if not task.may_move or not task.slowed_since_s:
        return False
    left_s = task.step.estimate_ms / 1000 * (100 - task.percent) / 100
    slowed_s = now_s - task.slowed_since_s
    return slowed_s > SLOWED_FOR_S and left_s > MOVE_COST_S


def note_speed(task: TaskRun, now_s: float) -> None:
    """Note whether a filling run is slowed down at this report."""
    spec = task.step.spec
    if not spec.filling:
        return
    if task.load >= SLOWED_SHARE * spec.size.millicores:
        task.slowed_since_s = 0.0
    elif not task.slowed_since_s:
        task.slowed_since_s = now_s


def _has_better(task: TaskRun, here: VmRoom, rooms: list[VmRoom]) -> bool:
    spec = task.step.spec
    cost_here = total_cost(task, here)
    worker = here.ledger.worker
    pool = None if worker is None else worker.pool
    for room in rooms:
        other = room.ledger.worker
        if room is here or other is None or other.pool != pool:
            continue
        if not room.suits(spec):
            continue
        if total_cost(task, room) + LEAST_GAIN < cost_here:
            room.take(spec, id(task.step))
            return True
    return False
