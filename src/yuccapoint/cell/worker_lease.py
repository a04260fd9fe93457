"""The lease of a VM's worker, translated to the worker's clock."""

from __future__ import annotations

from yuccapoint.cell import former_leases
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
    max_hold_s : float
        The worker shortens longer leases to this.
    """

    __slots__ = (
        "_clock_at_s",
        "_clock_ms",
        "_former_leases",
        "_sent_deadline_ms",
        "sent_until_s",
        "until_s",
    )

    def __init__(self, started_at_s: float, max_hold_s: float) -> None:
        self.until_s = 0.0
        self.sent_until_s = started_at_s + lease_bounds.VM_LEASE_S
        self._clock_ms: int | None = None
        self._clock_at_s = 0.0
        self._sent_deadline_ms = 0
        self._former_leases = former_leases.FormerLeases(
            started_at_s, max_hold_s
        )

    def begin_instance(self, now_s: float, *, same_id: bool) -> None:
        """Reset the clock, as each instance of the worker has its own.

        Parameters
        ----------
        now_s : float
            Steady time in seconds.
        same_id : bool
            Whether the new instance has the id of its predecessor.
        """
        self._former_leases.begin_instance(
            self._sent_deadline_ms, self.sent_until_s, now_s, same_id=same_id
        )
        self._clock_ms = None
        self._sent_deadline_ms = 0
        self.sent_until_s = 0.0

    def record_clock(self, clock_ms: int, received_at_s: float) -> None:
        """Record the worker's clock as read before an answer arrived."""
        self._clock_ms = clock_ms
        self._clock_at_s = received_at_s

    def on_answered(self, clock_ms: int, now_s: float) -> None:
        """Note the clock in an answer to a call to the present instance."""
        self.record_clock(clock_ms, now_s)
        self._former_leases.on_answered(clock_ms, now_s)

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
        deadline_ms = self._clock_ms + int(remaining_s * 1000)
        self._sent_deadline_ms = max(self._sent_deadline_ms, deadline_ms)
        return deadline_ms

    def former_hold_ms(self, now_s: float) -> int:
        """Return for how long calls to former instances may keep runs alive.

        Parameters
        ----------
        now_s : float
            Steady time in seconds.

        Returns
        -------
        int
            Milliseconds; 0 if no such call can have reached the worker.
        """
        until_s = self._former_leases.until_s(
            self._clock_ms, self._clock_at_s, now_s
        )
        return former_leases.remaining_ms(until_s, now_s)

    def has_expired(self, now_s: float) -> bool:
        """Return whether every lease that was sent has expired for certain."""
        former_until_s = self._former_leases.settled_until_s or 0.0
        until_s = max(self.sent_until_s, former_until_s)
        return now_s > until_s + MIN_LEASE_S
