"""Admission of requests to one endpoint's slots, at the agent."""

from __future__ import annotations

from yuccapoint.request.concurrency_limit import ConcurrencyLimit
from yuccapoint.request.exceptions import DeadlinePassedError
from yuccapoint.request.exceptions import OverloadedError
from yuccapoint.request.fair_queue import FairQueue
from yuccapoint.request.slot_request import SlotRequest

SERVICE_TIME_WEIGHT = 0.1
FIRST_SERVICE_TIME_S = 0.01
WAIT_MARGIN = 2.0
__all__ = ("Admission", "SlotRequest")


class Admission:
    """Slots and a bounded queue, fair to customers, then by deadline.

    Parameters
    ----------
    slots : int
        Requests that may run at once.
    connections : int
        Requests that may run or wait.
    """

    def __init__(self, slots: int, connections: int) -> None:
        self.slots = slots
        self.connections = connections
        self.running: dict[str, SlotRequest] = {}
        self.service_time_s = FIRST_SERVICE_TIME_S
        self.limit = ConcurrencyLimit(slots)
        self.evicted: list[SlotRequest] = []
        self._queue = FairQueue()

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    def offer(self, ticket: SlotRequest, now_s: float) -> bool:
        """Admit a request or queue it.

        When all connections are taken, a customer that waits with less
        than its share takes the place of the customer that waits with
        most; that ticket is put on ``evicted``.

        Parameters
        ----------
        ticket : SlotRequest
            The request.
        now_s : float
            Monotonic time.

        Returns
        -------
        bool
            True when it may start now, False when it waits.

        Raises
        ------
        OverloadedError
            All connections are taken.
        DeadlinePassedError
            The queue is too long for the request's deadline.
        """
        if len(self.running) < self.limit.allowed and not self._queue:
            self._start(ticket, now_s)
            return True
        wait_s = self._wait_s(ticket)
        expected_s = WAIT_MARGIN * wait_s + self.service_time_s
        if now_s + expected_s > ticket.deadline_s:
            raise DeadlinePassedError(
                "the queue is too long for the request's deadline",
                retry_after_s=wait_s,
            )
        if len(self.running) + len(self._queue) >= self.connections:
            self._make_room(ticket, wait_s)
        self._queue.add(ticket)
        return False

    def finish(self, request_key: str, now_s: float) -> None:
        """Free the slot of a request that ended."""
        ticket = self.running.pop(request_key, None)
        if ticket is None:
            return
        took_s = now_s - ticket.started_s
        self.limit.note(took_s, len(self.running) + 1, self.queued)
        self.service_time_s += SERVICE_TIME_WEIGHT * (
            took_s - self.service_time_s
        )

    def cancel(self, request_key: str) -> bool:
        """Drop a waiting request; False when it runs or is unknown."""
        return self._queue.remove(request_key)

    def start_next(self, now_s: float) -> SlotRequest | None:
        """Start the next waiting request of the customer whose turn it is."""
        if len(self.running) >= self.limit.allowed:
            return None
        ticket = self._queue.pop()
        if ticket is not None:
            self._start(ticket, now_s)
        return ticket

    def expire(self, now_s: float) -> list[SlotRequest]:
        """Drop the waiting requests that can't end in time."""
        return self._queue.expire(now_s + self.service_time_s)

    def take_evicted(self) -> list[SlotRequest]:
        """Give the waiting requests that lost their place."""
        evicted = self.evicted
        self.evicted = []
        return evicted

    def _make_room(self, ticket: SlotRequest, wait_s: float) -> None:
        longest = self._queue.longest_customer()
        own = self._queue.count(ticket.customer)
        if longest is None or self._queue.count(longest) <= own + 1:
            raise OverloadedError(
                "all connections of the endpoint are taken",
                retry_after_s=wait_s,
            )
        dropped = self._queue.pop_latest(longest)
        if dropped is not None:
            self.evicted.append(dropped)

    def _start(self, ticket: SlotRequest, now_s: float) -> None:
        ticket.started_s = now_s
        self.running[ticket.request_key] = ticket

    def _wait_s(self, ticket: SlotRequest) -> float:
        ahead = self._queue.ahead_of(ticket)
        return (ahead + 1) * self.service_time_s / self.limit.allowed
