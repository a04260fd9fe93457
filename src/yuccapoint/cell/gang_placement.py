"""Placement of gangs, whose members start together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell import crash_trials
from yuccapoint.cell.occurrence_state import Phase

if TYPE_CHECKING:
    from yuccapoint.cell.placement_rating import PlacementRating
    from yuccapoint.cell.step_run import StepRun
    from yuccapoint.cell.task_run import TaskRun
    from yuccapoint.cell.vm_candidate import VmCandidate
    from yuccapoint.cell.vm_ledger import VmLedger


def place_gang(
    rating: PlacementRating,
    step: StepRun,
    candidates: list[VmCandidate],
) -> list[tuple[TaskRun, VmLedger]]:
    """Place all members of a gang that has no claim, or none.

    Parameters
    ----------
    rating : PlacementRating
        Costs of the round.
    step : StepRun
        The gang.
    candidates : list of VmCandidate
        The open VMs of its pool.
    """
    # A gang starts as a whole: wait until no member holds a claim.
    if any(task.phase is Phase.CLAIMED for task in step.tasks):
        return []
    if step.spec.same_rack:
        racks = sorted({candidate.labels[-1:] for candidate in candidates})
        for rack in racks:
            in_rack = [
                candidate
                for candidate in candidates
                if candidate.labels[-1:] == rack
            ]
            chosen = _place_all(rating, step, in_rack)
            if chosen:
                return chosen
    return _place_all(rating, step, candidates)


def _place_all(
    rating: PlacementRating, step: StepRun, candidates: list[VmCandidate]
) -> list[tuple[TaskRun, VmLedger]]:
    if not _has_slots(step, candidates):
        return []
    chosen = _place_members(rating, step, candidates)
    if not chosen and any(task.is_suspect for task in step.tasks):
        # Not every pool has a VM for each suspect of a gang.
        chosen = _place_members(rating, step, candidates, alone=False)
    by_name = {candidate.ledger.name: candidate for candidate in candidates}
    for task, ledger in chosen:
        by_name[ledger.name].place(step.spec, id(step))
        crash_trials.note_start(task, by_name[ledger.name])
    return chosen


def _has_slots(step: StepRun, candidates: list[VmCandidate]) -> bool:
    """Return whether the VMs have room for all members, one by one.

    Otherwise members would be rated and placed until one has no room, in
    each round.
    """
    spec = step.spec
    needed = len(step.tasks)
    for candidate in candidates:
        if not candidate.can_run(spec):
            continue
        slots = spec.committed.times_in(candidate.free)
        needed -= min(slots, spec.max_per_vm or slots)
        if needed <= 0:
            return True
    return False


def _place_members(
    rating: PlacementRating,
    step: StepRun,
    candidates: list[VmCandidate],
    *,
    alone: bool = True,
) -> list[tuple[TaskRun, VmLedger]]:
    copies = [candidate.copy() for candidate in candidates]
    chosen = []
    for task in step.tasks:
        copied = rating.choose(task, copies, alone=alone)
        if copied is None:
            return []
        copied.place(step.spec, id(step))
        crash_trials.note_start(task, copied)
        chosen.append((task, copied.ledger))
    return chosen
