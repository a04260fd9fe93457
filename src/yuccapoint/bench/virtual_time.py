"""Virtual time and a network with delays, losses and cuts."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

LOCAL_DELAY_S = 0.001
FAR_DELAY_S = 0.040
LATE_SHARE = 0.01
LATE_S = 0.3
LOST_SHARE = 0.02


class VirtualTime:
    """Runs what is due, in order, without waiting."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Let something happen after a while."""
        at_s = self.now_s + delay_s
        heapq.heappush(self._due, (at_s, next(self._numbers), call))

    def run(self, until_s: float) -> None:
        """Let everything happen that is due by then."""
        while self._due and self._due[0][0] <= until_s:
            self.now_s, _, call = heapq.heappop(self._due)
            call()
        self.now_s = until_s


class VirtualNetwork:
    """Delivers between regions; messages are late or lost at random.

    Attributes
    ----------
    cut : set of int
        Regions that reach nobody outside.
    """

    def __init__(self, time: VirtualTime, rng: random.Random) -> None:
        self.cut: set[int] = set()
        self.time = time
        self._rng = rng

    def reaches(self, one: int, other: int) -> bool:
        """Tell whether two regions reach each other."""
        return one == other or not self.cut.intersection((one, other))

    def delay_s(self, one: int, other: int) -> float:
        """Draw the time from one region to another."""
        base_s = LOCAL_DELAY_S if one == other else FAR_DELAY_S
        late_s = LATE_S if self._rng.random() < LATE_SHARE else 0.0
        return base_s * self._rng.uniform(1.0, 1.5) + late_s

    def send(self, one: int, other: int, call: Callable[[], None]) -> None:
        """Send a message that may be lost."""
        if not self.reaches(one, other):
            return
        if self._rng.random() < LOST_SHARE:
            return
        self.time.after(self.delay_s(one, other), call)
