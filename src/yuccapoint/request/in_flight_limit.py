"""Requests that an entry holds, by customer."""

from __future__ import annotations

from yuccapoint.request.exceptions import OverloadedError

RETRY_AFTER_S = 1.0
FAIR_SHARE_THRESHOLD = 0.5


class InFlightLimit:
    """Bounds what an entry holds, and each customer's part when full.

    Parameters
    ----------
    limit : int
        Requests held at once. From half of it on, a customer may hold no
        more than its even part.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.count = 0
        self._by_customer: dict[str, int] = {}

    def acquire(self, customer: str) -> None:
        """Count a request in.

        Raises
        ------
        OverloadedError
            The entry or the customer's part of it is full.
        """
        own = self._by_customer.get(customer, 0)
        if self.count >= self.limit:
            raise OverloadedError("the entry is full", None, RETRY_AFTER_S)
        if self.count >= FAIR_SHARE_THRESHOLD * self.limit:
            others = len(self._by_customer) - (own > 0)
            if own >= self.limit / (others + 2):
                raise OverloadedError(
                    "the customer's part of the entry is full",
                    None,
                    RETRY_AFTER_S,
                )
        self._by_customer[customer] = own + 1
        self.count += 1

    def release(self, customer: str) -> None:
        """Count a request out."""
        self.count -= 1
        own = self._by_customer[customer] - 1
        if own:
            self._by_customer[customer] = own
            return
        del self._by_customer[customer]
