"""Virtual time and a network with delays, losses and partitions."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

LOCAL_DELAY_S = 0.001
REMOTE_DELAY_S = 0.040
LATE_SHARE = 0.01
LATE_DELAY_S = 0.3
LOST_SHARE = 0.02


class VirtualTime:
    """Event loop that advances a virtual clock from event to event."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        at_s = self.now_s + delay_s
        heapq.heappush(
            self._events, (at_s, next(self._event_numbers), callback)
        )

    def run(self, until_s: float) -> None:
        """Process all events until a point in time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, callback = heapq.heappop(self._events)
            callback()
        self.now_s = until_s


class VirtualNetwork:
    """Delivers messages between regions, some of them late or not at all.

    Attributes
    ----------
    isolated_regions : set of int
        Regions that are partitioned from all other regions.
    """

    def __init__(self, time: VirtualTime, rng: random.Random) -> None:
        self.isolated_regions: set[int] = set()
        self.time = time
        self._rng = rng

    def is_reachable(self, source: int, target: int) -> bool:
        """Return whether a message can pass between two regions."""
        return source == target or not self.isolated_regions.intersection(
            (source, target)
        )

    def delay_s(self, source: int, target: int) -> float:
        """Return a random one-way delay between two regions."""
        base_s = LOCAL_DELAY_S if source == target else REMOTE_DELAY_S
        late_s = LATE_DELAY_S if self._rng.random() < LATE_SHARE else 0.0
        return base_s * self._rng.uniform(1.0, 1.5) + late_s

    def send(
        self, source: int, target: int, callback: Callable[[], None]
    ) -> None:
        """Schedule the delivery of a message, unless it is lost."""
        if not self.is_reachable(source, target):
            return
        if self._rng.random() < LOST_SHARE:
            return
        self.time.schedule(self.delay_s(source, target), callback)
