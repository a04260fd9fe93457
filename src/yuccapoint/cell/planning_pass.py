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
    of the others. Steps that last have their turn in each round, as their
    tasks are to run again within seconds.

    Attributes
    ----------
    max_ratings : int
        Ratings of a VM for a task after which a round is cut off.
    ratings : int
        Ratings of the last round, those for suspects included.
    cut_off : bool
        Whether the last round left out steps that have their turn.
    """

    __slots__ = (
        "_claims",
        "_unplaced",
        "_uncounted_ratings",
        "cut_off",
        "max_ratings",
        "ratings",
    )

    def __init__(self) -> None:
        self.max_ratings = sys.maxsize
        self.ratings = 0
        self.cut_off = False
        self._uncounted_ratings = 0
        self._claims = 0
        self._unplaced: set[StepRun] = set()

    def begin_round(self) -> None:
        """Begin a round, which begins a pass if the last one was complete."""
        if not self.cut_off:
            self._unplaced.clear()
        self.cut_off = False
        self._uncounted_ratings = 0
        self._claims = 0

    def exclude_ratings(self, ratings: int) -> None:
        """Exclude the ratings so far from the bound.

        Suspects, which are placed first, would otherwise keep all other steps
        from their turn.
        """
        self._uncounted_ratings = ratings

    def has_turn(self, step: StepRun, ratings: int) -> bool:
        """Return whether a step is to be tried now.

        Parameters
        ----------
        step : StepRun
            The step.
        ratings : int
            Ratings of the round so far.
        """
        if step.spec.long_running:
            return True
        return step not in self._unplaced and self.may_go_on(ratings)

    def may_go_on(self, ratings: int) -> bool:
        """Return whether the round may go on, and cut it off otherwise.

        Parameters
        ----------
        ratings : int
            Ratings of the round so far.
        """
        counted = ratings - self._uncounted_ratings
        if counted < self.max_ratings and self._claims < MAX_CLAIMS_PER_ROUND:
            return True
        self.cut_off = True
        return False

    def note_claim(self) -> None:
        """Count a claim of the round."""
        self._claims += 1

    def note_unplaced(self, step: StepRun) -> None:
        """Note a step of which a task could not be placed."""
        self._unplaced.add(step)
