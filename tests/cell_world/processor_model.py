"""Processor of a simulated entry, which takes time for its work."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
from unittest import mock

from yuccapoint.cell.placement_rating import PlacementRating

if TYPE_CHECKING:
    from collections.abc import Callable

    from cell_world.simulated_clock import SimulatedClock


class ProcessorModel:
    """Advances the clock with the work of the process that runs now.

    The work is counted, so that a run repeats exactly: ratings of a VM for a
    task, control messages, and records that are written or read.

    Parameters
    ----------
    clock : SimulatedClock
        The simulated time, which the process reads.

    Attributes
    ----------
    rating_s, message_s, record_s : float
        Processor time of one of each, in seconds.
    """

    def __init__(self, clock: SimulatedClock) -> None:
        self.rating_s = 0.0
        self.message_s = 0.0
        self.record_s = 0.0
        self._clock = clock

    def run(self, act: Callable[[], None]) -> float:
        """Let the process run; return the time at which it is done.

        The clock is set back, as the others run at the same time.
        """
        began_at_s = self._clock.now_s
        if not self.rating_s:
            act()
            done_at_s, self._clock.now_s = self._clock.now_s, began_at_s
            return done_at_s
        with mock.patch.object(
            PlacementRating, "cost_beside", self._rate_and_count()
        ):
            act()
        done_at_s, self._clock.now_s = self._clock.now_s, began_at_s
        return done_at_s

    def on_message(self) -> None:
        """Take the time for a control message."""
        self._clock.now_s += self.message_s

    def on_records(self, count: int) -> None:
        """Take the time for records that are written or read."""
        self._clock.now_s += count * self.record_s

    def _rate_and_count(self) -> Callable[..., Any]:
        rate = PlacementRating.cost_beside

        def rate_and_count(*args: Any, **kwargs: Any) -> Any:
            self._clock.now_s += self.rating_s
            return rate(*args, **kwargs)

        return rate_and_count
