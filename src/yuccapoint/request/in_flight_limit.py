"""Limit on the requests in flight at an entry, fair to customers."""

from __future__ import annotations

from yuccapoint.request.exceptions import OverloadedError

RETRY_AFTER_S = 1.0
# Utilization from which each customer is limited to its fair share.
FAIR_SHARE_THRESHOLD = 0.5


class InFlightLimit:
    """Bounds the requests in flight, in total and per customer.

    Parameters
    ----------
    limit : int
        Requests in flight at once. From half of it on, a customer may
        have no more than its fair share.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.count = 0
        self._by_customer: dict[str, int] = {}

    def acquire(self, customer: str) -> None:
        """Count a new request.

        Raises
        ------
        OverloadedError
            The entry or the customer's share of it is full.
        """
        own = self._by_customer.get(customer, 0)
        if self.count >= self.limit:
            raise OverloadedError(
                "the entry has reached its limit of requests in flight",
                None,
                RETRY_AFTER_S,
            )
        if self.count >= FAIR_SHARE_THRESHOLD * self.limit:
            others = len(self._by_customer) - (own > 0)
            if own >= self.limit / (others + 2):
                raise OverloadedError(
                    "the customer has reached its share of requests in flight",
                    None,
                    RETRY_AFTER_S,
                )
        self._by_customer[customer] = own + 1
        self.count += 1

    def release(self, customer: str) -> None:
        """Count the end of a request."""
        self.count -= 1
        own = self._by_customer[customer] - 1
        if own:
            self._by_customer[customer] = own
            return
        del self._by_customer[customer]
