"""Bounds of one round of planning, and the pass that rounds share."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.cell.step_run import StepRun

# Claims after which a round is cut off: each is logged, stored and ordered
# before the leader reads reports again.
MAX_CLAIMS_PER_ROUND = 256


class PlanningPass:
    """Spreads the attempts to place all waiting steps over several rounds.

    Reports, leases and renewals wait while a leader plans. A round that has
    reached its bounds is cut off; the next ones leave out what it could not
    place until all steps have had their turn, and begin with the most urgent
    of the others.

    Attributes
    ----------
    max_ratings : int
        Ratings of a VM for a task after which a round is cut off.
    cut_off : bool
        Whether the last round left out steps that have their turn.
    """

    __slots__ = ("_unplaced", "cut_off", "max_ratings")

    def __init__(self) -> None:
        self.max_ratings = sys.maxsize
        self.cut_off = False
        self._unplaced: set[StepRun] = set()

    def begin_round(self) -> None:
        """Begin a round, which begins a pass if the last one was complete."""
        if not self.cut_off:
            self._unplaced.clear()
        self.cut_off = False

    def has_turn(self, step: StepRun) -> bool:
        """Return whether a step has not been tried in vain in this pass."""
        return step not in self._unplaced

    def may_go_on(self, ratings: int, claims: int) -> bool:
        """Return whether the round may go on, and cut it off otherwise.

        Parameters
        ----------
        ratings, claims : int
            What the round has rated and claimed so far.
        """
        if ratings < self.max_ratings and claims < MAX_CLAIMS_PER_ROUND:
            return True
        self.cut_off = True
        return False

    def note_unplaced(self, step: StepRun) -> None:
        """Note a step of which a task could not be placed."""
        self._unplaced.add(step)
