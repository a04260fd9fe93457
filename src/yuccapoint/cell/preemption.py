"""Preemption of late best-effort runs in favour of jobs still on time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.vm_candidate import VmCandidate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccapoint.cell.claim_planner import ClaimPlanner
    from yuccapoint.cell.interference_model import InterferenceModel
    from yuccapoint.cell.task_run import TaskRun
    from yuccapoint.cell.vm_ledger import VmLedger

# A run is not preempted before this time, which spans several checkpoints.
MIN_RUN_TIME_S = 1.5
# Limit of the runs being stopped at a time; rounds follow closely.
MAX_PREEMPTIONS_PER_ROUND = 4
# Waiting steps, the most urgent first, that are tried on each VM.
MAX_WAITING_STEPS = 32


def find_preemptions(
    planner: ClaimPlanner,
    vms: Iterable[VmLedger],
    interference: InterferenceModel,
    now_s: float,
) -> list[TaskRun]:
    """Choose late runs to stop in favour of jobs that are still on time.

    After a burst, late jobs may hold all VMs and make every later job late
    as well. Only runs that save their progress are preempted, and at least
    one run of each occurrence continues.

    Parameters
    ----------
    planner : ClaimPlanner
        Planner of this round, with the steps that it could not place.
    vms : iterable of VmLedger
        All VMs.
    interference : InterferenceModel
        Estimates of the interference between images.
    now_s : float
        Steady time in seconds.
    """
    waiting = [step for step in planner.unplaced if step.spec.best_effort]
    waiting = waiting[:MAX_WAITING_STEPS]
    if not waiting:
        return []
    open_vms = [vm for vm in vms if vm.worker is not None]
    budget = MAX_PREEMPTIONS_PER_ROUND
    running_counts: dict[int, int] = {}
    for vm in open_vms:
        for task in vm.claims.values():
            if task.stopping:
                budget -= 1
            elif task.seen_running:
                occurrence = id(task.step.occurrence)
                running_counts[occurrence] = (
                    running_counts.get(occurrence, 0) + 1
                )
    chosen: list[TaskRun] = []
    for vm in open_vms:
        candidate = VmCandidate(vm, interference)
        # One waiting task may need the room of several runs.
        victims: list[TaskRun] = []
        for task in _late_runs(planner, vm, now_s):
            occurrence = id(task.step.occurrence)
            if running_counts.get(occurrence, 0) < 2:
                continue
            if len(chosen) + len(victims) >= budget:
                return chosen
            running_counts[occurrence] -= 1
            victims.append(task)
            candidate.remove(task.step.spec, id(task.step))
            for step in waiting:
                if planner.would_fit(step, candidate):
                    candidate.place(step.spec, id(step))
                    chosen.extend(victims)
                    victims = []
                    break
    return chosen


def _late_runs(
    planner: ClaimPlanner, vm: VmLedger, now_s: float
) -> list[TaskRun]:
    """Return a VM's preemptible runs, those of the latest jobs first."""
    late = []
    for task in vm.claims.values():
        if not task.is_movable or now_s - task.started_at_s <= MIN_RUN_TIME_S:
            continue
        if planner.lateness(task.step):
            late.append(task)
    return sorted(late, key=lambda task: -planner.lateness(task.step))
