"""How many of an endpoint's slots are used, by what it can do now."""

from __future__ import annotations

RECENT_EWMA_WEIGHT = 0.2
BASELINE_EWMA_WEIGHT = 0.01
SLOWDOWN_RATIO = 2.0
DECREASE_FACTOR = 0.9
MIN_LIMIT_FRACTION = 0.5


class ConcurrencyLimit:
    """Uses fewer slots while answers take much longer than usual.

    The limit falls by a tenth when the recent service time is twice the
    usual one and requests wait, and rises by one slot for a full round of
    answers at the usual pace. It never falls below half of the slots.

    Parameters
    ----------
    slots : int
        Slots of the endpoint.
    """

    __slots__ = (
        "_recent_s",
        "_limit",
        "_slots",
        "_baseline_s",
        "_results_until_update",
    )

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self._recent_s = 0.0
        self._baseline_s = 0.0
        self._results_until_update = 0

    @property
    def current_limit(self) -> int:
        """Requests that may run at once now."""
        return max(1, int(self._limit))

    def record(self, service_time_s: float, running: int, queued: int) -> None:
        """Take a service time.

        Parameters
        ----------
        service_time_s : float
            Time from start to end, in seconds.
        running, queued : int
            Requests that ran and waited when it ended.
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
