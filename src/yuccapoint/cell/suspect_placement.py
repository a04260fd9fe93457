"""Placement of tasks that are suspected of crashing workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell import crash_trials

if TYPE_CHECKING:
    from yuccapoint.cell.placement_rating import PlacementRating
    from yuccapoint.cell.step_run import StepRun
    from yuccapoint.cell.task_run import TaskRun
    from yuccapoint.cell.vm_candidate import VmCandidate
    from yuccapoint.cell.vm_ledger import VmLedger


# After this time a long-running task that is suspected of crashing workers
# may start on any VM, however many are kept for others: trials take a second
# each.
TRIAL_WAIT_LIMIT_S = 2.0


def place_suspects(
    rating: PlacementRating, step: StepRun, candidates: list[VmCandidate]
) -> list[tuple[TaskRun, VmLedger]]:
    """Place the step's suspects, each where it starts alone.

    A crash then tells whether it was its cause, and takes no other new
    run with it. The claims of a suspect that has to wait are not counted
    as unplaced, as no preemption would help.

    Parameters
    ----------
    rating : PlacementRating
        Costs of the round.
    step : StepRun
        The step.
    candidates : list of VmCandidate
        The open VMs of its pool.
    """
    chosen: list[tuple[TaskRun, VmLedger]] = []
    for task in step.tasks:
        if not task.is_suspect or not rating.rules.is_waiting(task):
            continue
        reserved = [c for c in candidates if c.reserved_for == task.task_id]
        if (
            not reserved
            and not rating.rules.has_waited(task, TRIAL_WAIT_LIMIT_S)
            and not crash_trials.has_vm_left(candidates)
        ):
            continue
        overcommit = step.occurrence.is_idle and not chosen
        candidate = rating.choose(
            task, reserved or candidates, overcommit=overcommit
        )
        if candidate is not None:
            candidate.place(step.spec, id(step))
            crash_trials.note_start(task, candidate)
            chosen.append((task, candidate.ledger))
            continue
        if not reserved:
            _reserve(rating, task, candidates, overcommit=overcommit)
    return chosen


def _reserve(
    rating: PlacementRating,
    task: TaskRun,
    candidates: list[VmCandidate],
    *,
    overcommit: bool,
) -> None:
    """Reserve the VM with the fewest runs that are starting."""
    best: VmCandidate | None = None
    for candidate in candidates:
        if candidate.on_trial:
            continue
        cost = rating.cost_beside(task, candidate, overcommit=overcommit)
        if cost is None:
            continue
        if best is None or candidate.starting_runs < best.starting_runs:
            best = candidate
    if best is not None:
        crash_trials.reserve(task, best, rating.now_s)
