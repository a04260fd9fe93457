"""A budget that keeps retries a bounded share of requests."""

from __future__ import annotations

MAX_SAVED = 20.0


class RetryBudget:
    """Each request earns ``ratio`` retries; a retry spends one.

    Parameters
    ----------
    ratio : float
        Retries earned by a request, 0 to 1.
    """

    __slots__ = ("_saved", "ratio")

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._saved = MAX_SAVED / 4

    def earn(self) -> None:
        """Count one first try."""
        self._saved = min(MAX_SAVED, self._saved + self.ratio)

    def spend(self) -> bool:
        """Take one retry; False when the budget is used up."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
