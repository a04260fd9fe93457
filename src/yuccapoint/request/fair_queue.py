"""Queue that serves customers in turn and each by earliest deadline."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from sortedcontainers import SortedKeyList

if TYPE_CHECKING:
    from yuccapoint.request.slot_request import SlotRequest


class FairQueue:
    """Round robin over one queue per customer.

    Within a customer's queue, the earliest deadline is first. A burst of
    one customer therefore lengthens only that customer's queue.
    """

    def __init__(self) -> None:
        self._queues: collections.OrderedDict[
            str, SortedKeyList[SlotRequest]
        ] = collections.OrderedDict()
        self._requests: dict[str, SlotRequest] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: SlotRequest) -> None:
        """Add a request to its customer's queue."""
        queue = self._queues.get(request.customer)
        if queue is None:
            queue = SortedKeyList(key=_deadline_s)
            self._queues[request.customer] = queue
        queue.add(request)
        self._requests[request.request_key] = request

    def pop(self) -> SlotRequest | None:
        """Remove and return the first request of the next customer."""
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
        """Remove a request; False if it is not queued."""
        request = self._requests.pop(request_key, None)
        if request is None:
            return False
        queue = self._queues[request.customer]
        queue.remove(request)
        if not queue:
            del self._queues[request.customer]
        return True

    def expire(self, deadline_s: float) -> list[SlotRequest]:
        """Remove the requests that are due at or before ``deadline_s``."""
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
        """Count a customer's queued requests."""
        return len(self._queues.get(customer, ()))

    def customer_with_longest_queue(self) -> str | None:
        """Return the customer with the longest queue."""
        if not self._queues:
            return None
        return max(self._queues, key=self.count)

    def pop_last(self, customer: str) -> SlotRequest | None:
        """Remove and return a customer's request with the latest deadline."""
        queue = self._queues.get(customer)
        if not queue:
            return None
        request: SlotRequest = queue[-1]
        self.remove(request.request_key)
        return request

    def count_ahead(self, request: SlotRequest) -> int:
        """Count the queued requests that would start before a new one."""
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
