"""Admission control at the agent for the slots of one endpoint."""

from __future__ import annotations

from yuccapoint.request.concurrency_limit import ConcurrencyLimit
from yuccapoint.request.exceptions import DeadlinePassedError
from yuccapoint.request.exceptions import OverloadedError
from yuccapoint.request.fair_queue import FairQueue
from yuccapoint.request.slot_request import SlotRequest

SERVICE_TIME_EWMA_WEIGHT = 0.1
INITIAL_SERVICE_TIME_S = 0.01
# Margin on the estimated wait when it is compared with a deadline.
WAIT_ESTIMATE_FACTOR = 2.0
__all__ = ("Admission", "SlotRequest")


class Admission:
    """Slots with a bounded queue, fair between customers.

    The requests of one customer start by earliest deadline.

    Parameters
    ----------
    slots : int
        Requests that may run concurrently.
    connections : int
        Upper bound on running and queued requests together.
    """

    def __init__(self, slots: int, connections: int) -> None:
        self.slots = slots
        self.connections = connections
        self.running: dict[str, SlotRequest] = {}
        self.service_time_s = INITIAL_SERVICE_TIME_S
        self.concurrency_limit = ConcurrencyLimit(slots)
        self.evicted: list[SlotRequest] = []
        self._queue = FairQueue()

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    def admit_or_queue(self, request: SlotRequest, now_s: float) -> bool:
        """Admit a request or queue it.

        When all connections are in use, the customer with the longest
        queue loses its last request to a customer whose queue is shorter
        by at least two.
        The evicted request is appended to ``evicted``.

        Parameters
        ----------
        request : SlotRequest
            The request to admit.
        now_s : float
            Monotonic time.

        Returns
        -------
        bool
            True if the request may start now, False if it was queued.

        Raises
        ------
        OverloadedError
            All connections are in use and no request can be evicted.
        DeadlinePassedError
            The estimated wait exceeds the request's deadline.
        """
        if (
            len(self.running) < self.concurrency_limit.current
            and not self._queue
        ):
            self._start(request, now_s)
            return True
        wait_s = self._wait_s(request)
        expected_s = WAIT_ESTIMATE_FACTOR * wait_s + self.service_time_s
        if now_s + expected_s > request.deadline_s:
            raise DeadlinePassedError(
                "the estimated queue wait exceeds the request's deadline",
                retry_after_s=wait_s,
            )
        if len(self.running) + len(self._queue) >= self.connections:
            self._evict_for(request, wait_s)
        self._queue.add(request)
        return False

    def finish(self, request_key: str, now_s: float) -> None:
        """Free the slot of a finished request."""
        request = self.running.pop(request_key, None)
        if request is None:
            return
        request_time_s = now_s - request.started_s
        self.concurrency_limit.record(
            request_time_s, len(self.running) + 1, self.queued
        )
        self.service_time_s += SERVICE_TIME_EWMA_WEIGHT * (
            request_time_s - self.service_time_s
        )

    def cancel(self, request_key: str) -> bool:
        """Remove a queued request; False if it is running or unknown."""
        return self._queue.remove(request_key)

    def start_next(self, now_s: float) -> SlotRequest | None:
        """Start the next queued request, if a slot is free."""
        if len(self.running) >= self.concurrency_limit.current:
            return None
        request = self._queue.pop()
        if request is not None:
            self._start(request, now_s)
        return request

    def expire(self, now_s: float) -> list[SlotRequest]:
        """Remove the queued requests that can't finish by their deadline."""
        return self._queue.expire(now_s + self.service_time_s)

    def pop_evicted(self) -> list[SlotRequest]:
        """Return and clear the requests evicted from the queue."""
        evicted = self.evicted
        self.evicted = []
        return evicted

    def _evict_for(self, request: SlotRequest, wait_s: float) -> None:
        longest = self._queue.customer_with_longest_queue()
        own = self._queue.count(request.customer)
        if longest is None or self._queue.count(longest) <= own + 1:
            raise OverloadedError(
                "all connections of the endpoint are in use",
                retry_after_s=wait_s,
            )
        dropped = self._queue.pop_last(longest)
        if dropped is not None:
            self.evicted.append(dropped)

    def _start(self, request: SlotRequest, now_s: float) -> None:
        request.started_s = now_s
        self.running[request.request_key] = request

    def _wait_s(self, request: SlotRequest) -> float:
        ahead = self._queue.count_ahead(request)
        return (
            (ahead + 1) * self.service_time_s / self.concurrency_limit.current
        )
