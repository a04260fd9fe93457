"""Budget that limits retries to a fraction of the requests."""

from __future__ import annotations

MAX_BALANCE = 20.0


class RetryBudget:
    """Each request deposits ``ratio`` retries; a retry withdraws one.

    Parameters
    ----------
    ratio : float
        Retries allowed per request, 0 to 1.
    """

    __slots__ = ("_balance", "ratio")

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._balance = MAX_BALANCE / 4

    def deposit(self) -> None:
        """Count the first attempt of a request."""
        self._balance = min(MAX_BALANCE, self._balance + self.ratio)

    def withdraw(self) -> bool:
        """Withdraw one retry; False if the budget is exhausted."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
