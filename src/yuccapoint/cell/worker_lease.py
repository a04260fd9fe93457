"""The lease of a VM's worker, translated to the worker's clock."""

from __future__ import annotations

from yuccapoint.cell import lease_bounds

# Remaining validity below which a lease is too short to start a run.
MIN_LEASE_S = 0.3


class WorkerLease:
    """Tracks until when the worker may run its tasks.

    The leader grants a lease from the time at which the agent requested
    it. The worker's own clock may be slower than the agent's.

    Parameters
    ----------
    started_at_s : float
        Start time of this agent; its predecessor may have sent a lease
        just before.
    """

    __slots__ = ("_clock_at_s", "_clock_ms", "sent_until_s", "until_s")

    def __init__(self, started_at_s: float) -> None:
        self.until_s = 0.0
        self.sent_until_s = started_at_s + lease_bounds.VM_LEASE_S
        self._clock_ms: int | None = None
        self._clock_at_s = 0.0

    def reset_clock(self) -> None:
        """Reset the clock, as each instance of the worker has its own."""
        self._clock_ms = None
        self.sent_until_s = 0.0

    def record_clock(self, clock_ms: int, received_at_s: float) -> None:
        """Record the worker's clock as read before an answer arrived."""
        self._clock_ms = clock_ms
        self._clock_at_s = received_at_s

    def extend(self, until_s: float) -> None:
        """Extend the lease to the time that the leader granted."""
        self.until_s = max(self.until_s, until_s)

    def is_valid(self, now_s: float) -> bool:
        """Return whether the remaining lease allows a start."""
        known = self._clock_ms is not None
        return known and self.until_s - now_s > MIN_LEASE_S

    def until_clock_ms(self) -> int | None:
        """Return the end of the lease on the worker's clock, to send now."""
        if self._clock_ms is None or self.until_s <= self._clock_at_s:
            return None
        remaining_s = self.until_s - self._clock_at_s
        remaining_s *= lease_bounds.MIN_WORKER_CLOCK_RATE
        self.sent_until_s = max(self.sent_until_s, self.until_s)
        return self._clock_ms + int(remaining_s * 1000)

    def has_expired(self, now_s: float) -> bool:
        """Return whether every lease that was sent has expired for certain."""
        return now_s > self.sent_until_s + MIN_LEASE_S
