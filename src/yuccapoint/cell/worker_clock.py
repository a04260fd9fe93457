"""Lower bound of the worker's clock, which starts anew with each instance."""

from __future__ import annotations

from yuccapoint.cell import lease_bounds


class WorkerClock:
    """Tracks the least time that the worker's clock can show.

    An answer with an earlier time comes from another instance.
    """

    __slots__ = ("_read_at_s", "_read_ms")

    def __init__(self) -> None:
        self._read_ms = 0.0
        self._read_at_s = 0.0

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
