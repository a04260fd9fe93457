"""Byte budget of the link between the regions."""

from __future__ import annotations

BURST_S = 1.0
MIN_WAIT_S = 0.01
# Wait that is reported while the settings forbid cross-region requests.
NO_BUDGET_RETRY_AFTER_S = 60.0


class RegionLinkBudget:
    """Allows cross-region requests while the budget is not overdrawn.

    The size of a response is not known in advance. It is deducted when the
    response arrives, and the budget has to recover before the next request.

    Parameters
    ----------
    bytes_per_s : float
        Rate at which all entries together may send and receive; 0 forbids
        cross-region requests.
    """

    __slots__ = (
        "_available_bytes",
        "_bytes_per_s",
        "_refilled_at_s",
        "used_bytes",
    )

    def __init__(self, bytes_per_s: float) -> None:
        self.used_bytes = 0
        self._bytes_per_s = bytes_per_s
        self._available_bytes = bytes_per_s * BURST_S
        self._refilled_at_s = 0.0

    def wait_s(self, entry_count: int, now_s: float) -> float:
        """Return the wait until cross-region requests are allowed.

        Parameters
        ----------
        entry_count : int
            Number of entries that share the link evenly.
        now_s : float
            Monotonic time.
        """
        rate_per_s = self._bytes_per_s / max(1, entry_count)
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        self._refilled_at_s = now_s
        self._available_bytes = min(
            rate_per_s * BURST_S,
            self._available_bytes + elapsed_s * rate_per_s,
        )
        if self._available_bytes > 0:
            return 0.0
        if not rate_per_s:
            return NO_BUDGET_RETRY_AFTER_S
        return max(MIN_WAIT_S, -self._available_bytes / rate_per_s)

    def consume(self, size_bytes: int) -> None:
        """Deduct transferred bytes from the budget."""
        self.used_bytes += size_bytes
        self._available_bytes -= size_bytes
