"""Sizes of tasks for which a round has found no room in a pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.cell.step_run import StepRun
    from yuccapoint.cell.vm_candidate import VmCandidate
    from yuccapoint.job.size import Size

# Limit of the sizes that are compared for each pool and label.
MAX_SIZES = 8


class FullPools:
    """Leaves steps out of a round that are no smaller than one without room.

    Placements only take room away within a round. A backlog that doesn't fit
    would otherwise rate all VMs for each of its steps, in each round.
    """

    __slots__ = ("_sizes",)

    def __init__(self) -> None:
        self._sizes: dict[tuple[str, str], list[Size]] = {}

    def note_unplaced(
        self, step: StepRun, candidates: list[VmCandidate]
    ) -> None:
        """Note a step that was not placed, if it had no room anywhere.

        Parameters
        ----------
        step : StepRun
            The step.
        candidates : list of VmCandidate
            The open VMs of its pool.
        """
        sizes = self._sizes.setdefault((step.pool, step.spec.label), [])
        if len(sizes) >= MAX_SIZES:
            return
        # A VM that a smaller task fits may keep this one off for a while.
        if any(candidate.can_run(step.spec) for candidate in candidates):
            return
        sizes.append(step.spec.committed)

    def has_no_room(self, step: StepRun) -> bool:
        """Return whether no VM of a step's pool has room for its tasks."""
        sizes = self._sizes.get((step.pool, step.spec.label), ())
        return any(size.fits(step.spec.committed) for size in sizes)
