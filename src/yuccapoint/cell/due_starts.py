"""Starts that a VM's agent is to be ordered, and those without room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.occurrence_state import Phase

if TYPE_CHECKING:
    from yuccapoint.cell.cell_leader import CellLeader
    from yuccapoint.cell.task_run import TaskRun
    from yuccapoint.cell.vm_ledger import VmLedger
    from yuccapoint.job.size import Size

# A start without a reaction is ordered again after this time, which is
# longer than a report takes over the slow link.
START_ORDER_RETRY_S = 0.25
# An ordered start of which nothing is heard for this time was probably lost.
UNKNOWN_START_S = 2.0


def is_start_due(vm: VmLedger, task: TaskRun, now_s: float) -> bool:
    """Return whether the start of a claimed task is to be ordered now."""
    if not task.durable or task.seen_running or task.instance != vm.instance:
        return False
    if (task.task_id, task.run) in vm.pending:
        return False
    return now_s - task.ordered_at_s >= START_ORDER_RETRY_S


def withdraw_excess_starts(
    leader: CellLeader, vm: VmLedger, now_s: float
) -> bool:
    """Withdraw starts that no longer fit, as the worker's capacity shrank.

    Runs that were seen on the worker go on. A run whose start was ordered
    may have started unseen: its order is not repeated, and the run is
    stopped only if nothing is heard of it.

    Returns
    -------
    bool
        Whether starts may be ordered.
    """
    for task in reversed(list(vm.claims.values())):
        if _room_after_stops(vm).valid:
            break
        if task.stopping or task.task_id not in vm.claims:
            continue
        if not _is_withdrawable(vm, task, now_s):
            continue
        _withdraw(leader, task, "a VM's room has shrunk", now_s)
    # A run holds its room until it has stopped.
    return vm.available.valid


def is_start_misplaced(vm: VmLedger, task: TaskRun) -> bool:
    """Return whether a claimed task is to start in another pool by now.

    Members of a gang join those at work, as the gang runs as a whole.
    """
    if task.seen_running or vm.worker is None:
        return False
    if vm.worker.pool == task.step.pool:
        return False
    if not task.step.spec.gang:
        return True
    return not any(member.seen_running for member in task.step.tasks)


def withdraw_misplaced_starts(
    leader: CellLeader, vm: VmLedger, now_s: float
) -> None:
    """Withdraw starts whose queue was sent to another pool.

    A run whose start was ordered may have started unseen: its order is not
    repeated, and the run is stopped only if nothing is heard of it.
    """
    for task in list(vm.claims.values()):
        if task.stopping or task.task_id not in vm.claims:
            continue
        if not is_start_misplaced(vm, task):
            continue
        # A worker that has not listed its runs yet may have the task at work.
        if task.ordered_at_s and not vm.runs_listed:
            continue
        if not _is_withdrawable(vm, task, now_s):
            continue
        _withdraw(leader, task, "its queue has another pool", now_s)


def _withdraw(
    leader: CellLeader, task: TaskRun, why: str, now_s: float
) -> None:
    """Stop a claim; other members of a gang would wait for it in vain."""
    members = task.step.tasks if task.step.spec.gang else [task]
    for member in members:
        if member.phase is Phase.CLAIMED:
            leader.stop(member, why, now_s)


def _room_after_stops(vm: VmLedger) -> Size:
    room = vm.available
    for task in vm.claims.values():
        if task.stopping:
            room += task.step.spec.committed
    return room


def _is_withdrawable(vm: VmLedger, task: TaskRun, now_s: float) -> bool:
    if task.seen_running:
        return False
    if not task.ordered_at_s:
        return True
    is_unknown = now_s - task.ordered_at_s >= UNKNOWN_START_S
    return is_unknown and is_start_due(vm, task, now_s)
