"""Adaptive limit on the concurrent requests of one endpoint."""

from __future__ import annotations

RECENT_EWMA_WEIGHT = 0.2
BASELINE_EWMA_WEIGHT = 0.01
SLOWDOWN_RATIO = 2.0
DECREASE_FACTOR = 0.9
MIN_LIMIT_FRACTION = 0.5


class ConcurrencyLimit:
    """Reduces the slots in use while service times are above the baseline.

    The limit changes once per round of as many finished requests as were
    running. It drops by a tenth if the recent service time is more than
    twice the baseline and requests are queued, and otherwise rises by one
    slot. It never drops below half of the slots.

    Parameters
    ----------
    slots : int
        Slots of the endpoint, the upper bound of the limit.
    """

    __slots__ = (
        "_baseline_s",
        "_limit",
        "_recent_s",
        "_results_until_update",
        "_slots",
    )

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self._recent_s = 0.0
        self._baseline_s = 0.0
        self._results_until_update = 0

    @property
    def current(self) -> int:
        """Requests that may run concurrently now."""
        return max(1, int(self._limit))

    def record(self, service_time_s: float, running: int, queued: int) -> None:
        """Adjust the limit to the service time of a finished request.

        Parameters
        ----------
        service_time_s : float
            Time from start to finish, in seconds.
        running, queued : int
            Requests running and queued when it finished.
        """
        if not self._baseline_s:
            self._recent_s = service_time_s
            self._baseline_s = service_time_s
        self._recent_s += RECENT_EWMA_WEIGHT * (
            service_time_s - self._recent_s
        )
        self._baseline_s += BASELINE_EWMA_WEIGHT * (
            service_time_s - self._baseline_s
        )
        self._results_until_update -= 1
        if self._results_until_update > 0:
            return
        self._results_until_update = running
        slow = self._recent_s > SLOWDOWN_RATIO * self._baseline_s
        if slow and queued:
            floor = max(1.0, MIN_LIMIT_FRACTION * self._slots)
            self._limit = max(floor, self._limit * DECREASE_FACTOR)
            return
        self._limit = min(float(self._slots), self._limit + 1.0)
