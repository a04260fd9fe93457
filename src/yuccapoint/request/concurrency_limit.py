"""How many of an endpoint's slots are used, by what it can do now."""

from __future__ import annotations

FAST_WEIGHT = 0.2
SLOW_WEIGHT = 0.01
SLOW_DOWN_RATIO = 2.0
DECREASE = 0.9
MIN_SHARE = 0.5


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

    __slots__ = ("_fast_s", "_limit", "_slots", "_slow_s", "_wait")

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self._fast_s = 0.0
        self._slow_s = 0.0
        self._wait = 0

    @property
    def allowed(self) -> int:
        """Requests that may run at once now."""
        return max(1, int(self._limit))

    def note(self, took_s: float, running: int, queued: int) -> None:
        """Take a service time.

        Parameters
        ----------
        took_s : float
            Time from start to end, in seconds.
        running, queued : int
            Requests that ran and waited when it ended.
        """
        if not self._slow_s:
            self._fast_s = took_s
            self._slow_s = took_s
        self._fast_s += FAST_WEIGHT * (took_s - self._fast_s)
        self._slow_s += SLOW_WEIGHT * (took_s - self._slow_s)
        self._wait -= 1
        if self._wait > 0:
            return
        self._wait = running
        slow = self._fast_s > SLOW_DOWN_RATIO * self._slow_s
        if slow and queued:
            floor = max(1.0, MIN_SHARE * self._slots)
            self._limit = max(floor, self._limit * DECREASE)
            return
        self._limit = min(float(self._slots), self._limit + 1.0)
