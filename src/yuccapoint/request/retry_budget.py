"""A budget that keeps retries a bounded share of requests."""

from __future__ import annotations

MAX_BALANCE = 20.0


class RetryBudget:
    """Each request earns ``ratio`` retries; a retry spends one.

    Parameters
    ----------
    ratio : float
        Retries earned by a request, 0 to 1.
    """

    __slots__ = ("_balance", "ratio")

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._balance = MAX_BALANCE / 4

    def deposit(self) -> None:
        """Count one first try."""
        self._balance = min(MAX_BALANCE, self._balance + self.ratio)

    def withdraw(self) -> bool:
        """Take one retry; False when the budget is used up."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
