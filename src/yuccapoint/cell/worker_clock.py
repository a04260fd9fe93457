"""Bounds of the worker's clock, which starts anew with each instance."""

from __future__ import annotations

from yuccapoint.cell import lease_bounds

# Rounding of the worker's clock and of the times of calls.
TOLERANCE_MS = 50.0


class WorkerClock:
    """Tracks the least and the most that the worker's clock can show.

    An answer with an earlier time comes from another instance, a check-in
    with a later one from another writer.
    """

    __slots__ = ("_bound_at_s", "_bound_ms", "_read_at_s", "_read_ms")

    def __init__(self) -> None:
        self._read_ms = 0.0
        self._read_at_s = 0.0
        # None until the present instance has answered a call.
        self._bound_ms: int | None = None
        self._bound_at_s = 0.0

    def set(self, clock_ms: int, now_s: float) -> None:
        """Set the clock to what the present instance has just told.

        It may be behind the bound, as a suspended worker's clock stands
        still.
        """
        self._read_ms = clock_ms
        self._read_at_s = now_s

    def record(self, clock_ms: int, now_s: float) -> None:
        """Record the clock of a message that may have been delayed.

        Parameters
        ----------
        clock_ms : int
            Time on the worker's clock in milliseconds.
        now_s : float
            Steady time in seconds.
        """
        self._read_ms = max(clock_ms, self.least_ms(now_s))
        self._read_at_s = now_s

    def least_ms(self, now_s: float) -> float:
        """Return the lower bound of the clock in milliseconds."""
        passed_ms = (now_s - self._read_at_s) * 1000
        return self._read_ms + passed_ms * lease_bounds.MIN_WORKER_CLOCK_RATE

    def bound(self, clock_ms: int, asked_at_s: float) -> None:
        """Bound the clock by an answer of the present instance.

        Parameters
        ----------
        clock_ms : int
            Time on the worker's clock in milliseconds.
        asked_at_s : float
            Steady time in seconds before which the clock was not read.
        """
        self._bound_ms = clock_ms
        self._bound_at_s = asked_at_s

    def reset_bound(self) -> None:
        """Forget the bound, as each instance has a clock of its own."""
        self._bound_ms = None

    def is_ahead(self, clock_ms: int, now_s: float) -> bool:
        """Return whether the worker's clock can't show a time yet."""
        if self._bound_ms is None:
            return False
        passed_ms = (now_s - self._bound_at_s) * 1000
        most_ms = passed_ms / lease_bounds.MIN_WORKER_CLOCK_RATE
        return clock_ms > self._bound_ms + most_ms + TOLERANCE_MS
