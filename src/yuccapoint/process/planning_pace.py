"""Bound of a scheduling round by what earlier rounds took."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.process.steady_clock import steady_s
from yuccapoint.process.steady_clock import wall_ms

if TYPE_CHECKING:
    from yuccapoint.cell.cell_leader import CellLeader

# Time for the planning of a round in seconds. Renewals are due every 0.7 s,
# and reports wait meanwhile.
MAX_PLANNING_S = 0.1
# Ratings of the first round, and of each on the slowest of machines.
MIN_RATINGS = 1_000
MAX_RATINGS = 100_000
# Weight of the last round in the mean.
LAST_ROUND_WEIGHT = 0.5


class PlanningPace:
    """Derives how many VMs a round may rate from the time of earlier ones.

    Attributes
    ----------
    max_ratings : int
        Limit of the ratings of the next round.
    """

    __slots__ = ("_rating_s", "max_ratings")

    def __init__(self) -> None:
        self._rating_s: float | None = None
        self.max_ratings = MIN_RATINGS

    def tick(self, leader: CellLeader, now_s: float) -> bool:
        """Let a leader decide and plan a bounded round.

        Parameters
        ----------
        leader : CellLeader
            Leader of the cell.
        now_s : float
            Steady time in seconds.

        Returns
        -------
        bool
            Whether all steps have had their turn; otherwise the next round
            is due as soon as the process has read its messages.
        """
        leader.planning_pass.max_ratings = self.max_ratings
        leader.tick(now_s, wall_ms())
        took_s = steady_s() - now_s
        self._on_planned(leader.planning_pass.ratings, took_s)
        return not leader.planning_pass.cut_off

    def _on_planned(self, ratings: int, took_s: float) -> None:
        if ratings < MIN_RATINGS:
            return
        rating_s = took_s / ratings
        if self._rating_s is not None:
            rating_s -= (1 - LAST_ROUND_WEIGHT) * (rating_s - self._rating_s)
        self._rating_s = rating_s
        # A clock that stands still or is too coarse shows no time.
        affordable = MAX_RATINGS
        if rating_s * MAX_RATINGS > MAX_PLANNING_S:
            affordable = int(MAX_PLANNING_S / rating_s)
        self.max_ratings = max(MIN_RATINGS, affordable)
