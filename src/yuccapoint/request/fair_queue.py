"""Waiting requests, in turn by customer and by deadline within one."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from sortedcontainers import SortedKeyList

if TYPE_CHECKING:
    from yuccapoint.request.slot_request import SlotRequest


class FairQueue:
    """Each customer's requests wait in a queue of their own.

    Customers take turns; within a queue the earliest deadline goes first.
    A flood of one customer thus lengthens that customer's queue only.
    """

    def __init__(self) -> None:
        self._queues: collections.OrderedDict[
            str, SortedKeyList[SlotRequest]
        ] = collections.OrderedDict()
        self._requests: dict[str, SlotRequest] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: SlotRequest) -> None:
        """Put a request into its customer's queue."""
        queue = self._queues.get(request.customer)
        if queue is None:
            queue = SortedKeyList(key=_deadline_s)
            self._queues[request.customer] = queue
        queue.add(request)
        self._requests[request.request_key] = request

    def pop(self) -> SlotRequest | None:
        """Take the next request of the customer whose turn it is."""
        if not self._queues:
            return None
        customer, queue = next(iter(self._queues.items()))
        request: SlotRequest = queue.pop(0)
        del self._requests[request.request_key]
        self._queues.move_to_end(customer)
        if not queue:
            del self._queues[customer]
        return request

    def remove(self, request_key: str) -> bool:
        """Drop a request; False when it does not wait."""
        request = self._requests.pop(request_key, None)
        if request is None:
            return False
        queue = self._queues[request.customer]
        queue.remove(request)
        if not queue:
            del self._queues[request.customer]
        return True

    def expire(self, deadline_s: float) -> list[SlotRequest]:
        """Drop the requests whose deadline is not after ``deadline_s``."""
        late: list[SlotRequest] = []
        for queue in self._queues.values():
            for request in queue:
                if request.deadline_s > deadline_s:
                    break
                late.append(request)
        for request in late:
            self.remove(request.request_key)
        return late

    def count(self, customer: str) -> int:
        """Count a customer's waiting requests."""
        return len(self._queues.get(customer, ()))

    def customer_with_longest_queue(self) -> str | None:
        """Name the customer with the longest queue."""
        if not self._queues:
            return None
        return max(self._queues, key=self.count)

    def pop_last(self, customer: str) -> SlotRequest | None:
        """Drop the request of a customer that would start last."""
        queue = self._queues.get(customer)
        if not queue:
            return None
        request: SlotRequest = queue[-1]
        self.remove(request.request_key)
        return request

    def count_ahead(self, request: SlotRequest) -> int:
        """Count the requests that would start before a new one."""
        own = 0
        queue = self._queues.get(request.customer)
        if queue is not None:
            own = queue.bisect_key_right(request.deadline_s)
        ahead = own
        for customer, other in self._queues.items():
            if customer != request.customer:
                ahead += min(len(other), own + 1)
        return ahead


def _deadline_s(request: SlotRequest) -> float:
    return request.deadline_s
