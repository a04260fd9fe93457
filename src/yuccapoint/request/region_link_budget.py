"""The byte budget of the link between the regions."""

from __future__ import annotations

BURST_S = 1.0
MIN_WAIT_S = 0.01
NO_BUDGET_RETRY_AFTER_S = 60.0


class RegionLinkBudget:
    """Requests may cross while the budget is not overdrawn.

    An answer's size is not known before it comes; it is taken off
    afterwards, and the budget has to recover before the next request.

    Parameters
    ----------
    bytes_per_s : float
        Bytes that all entries may send and receive; 0 forbids crossing.
    """

    __slots__ = (
        "_bytes_per_s",
        "_refilled_at_s",
        "_available_bytes",
        "used_bytes",
    )

    def __init__(self, bytes_per_s: float) -> None:
        self.used_bytes = 0
        self._bytes_per_s = bytes_per_s
        self._available_bytes = bytes_per_s * BURST_S
        self._refilled_at_s = 0.0

    def wait_s(self, entry_count: int, now_s: float) -> float:
        """Tell how long requests may not cross; 0 when they may.

        Parameters
        ----------
        entry_count : int
            Entries that share the link evenly.
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
        """Take bytes that crossed off the budget."""
        self.used_bytes += size_bytes
        self._available_bytes -= size_bytes
