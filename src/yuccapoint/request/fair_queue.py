"""Waiting requests, in turn by customer and by deadline within one."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from sortedcontainers import SortedKeyList

if TYPE_CHECKING:
    from yuccapoint.request.slot_request import SlotRequest


class FairQueue:
    """Each customer's requests wait in a line of their own.

    Customers take turns; within a line the earliest deadline goes first.
    A flood of one customer thus lengthens that customer's line only.
    """

    def __init__(self) -> None:
        self._lines: collections.OrderedDict[
            str, SortedKeyList[SlotRequest]
        ] = collections.OrderedDict()
        self._tickets: dict[str, SlotRequest] = {}

    def __len__(self) -> int:
        return len(self._tickets)

    def add(self, ticket: SlotRequest) -> None:
        """Put a request into its customer's line."""
        line = self._lines.get(ticket.customer)
        if line is None:
            line = SortedKeyList(key=_deadline_s)
            self._lines[ticket.customer] = line
        line.add(ticket)
        self._tickets[ticket.request_key] = ticket

    def pop(self) -> SlotRequest | None:
        """Take the next request of the customer whose turn it is."""
        if not self._lines:
            return None
        customer, line = next(iter(self._lines.items()))
        ticket: SlotRequest = line.pop(0)
        del self._tickets[ticket.request_key]
        self._lines.move_to_end(customer)
        if not line:
            del self._lines[customer]
        return ticket

    def remove(self, request_key: str) -> bool:
        """Drop a request; False when it does not wait."""
        ticket = self._tickets.pop(request_key, None)
        if ticket is None:
            return False
        line = self._lines[ticket.customer]
        line.remove(ticket)
        if not line:
            del self._lines[ticket.customer]
        return True

    def expire(self, deadline_s: float) -> list[SlotRequest]:
        """Drop the requests whose deadline is not after ``deadline_s``."""
        late: list[SlotRequest] = []
        for line in self._lines.values():
            for ticket in line:
                if ticket.deadline_s > deadline_s:
                    break
                late.append(ticket)
        for ticket in late:
            self.remove(ticket.request_key)
        return late

    def count(self, customer: str) -> int:
        """Count a customer's waiting requests."""
        return len(self._lines.get(customer, ()))

    def longest_customer(self) -> str | None:
        """Name the customer with the longest line."""
        if not self._lines:
            return None
        return max(self._lines, key=self.count)

    def pop_latest(self, customer: str) -> SlotRequest | None:
        """Drop the request of a customer that would start last."""
        line = self._lines.get(customer)
        if not line:
            return None
        ticket: SlotRequest = line[-1]
        self.remove(ticket.request_key)
        return ticket

    def ahead_of(self, ticket: SlotRequest) -> int:
        """Count the requests that would start before a new one."""
        own = 0
        line = self._lines.get(ticket.customer)
        if line is not None:
            own = line.bisect_key_right(ticket.deadline_s)
        ahead = own
        for customer, other in self._lines.items():
            if customer != ticket.customer:
                ahead += min(len(other), own + 1)
        return ahead


def _deadline_s(ticket: SlotRequest) -> float:
    return ticket.deadline_s
