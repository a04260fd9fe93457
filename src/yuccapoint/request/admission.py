"""Admission of requests to one endpoint's slots, at the agent."""

from __future__ import annotations

from sortedcontainers import SortedKeyList

from yuccapoint.request.exceptions import DeadlinePassedError
from yuccapoint.request.exceptions import OverloadedError

SERVICE_TIME_WEIGHT = 0.1
FIRST_SERVICE_TIME_S = 0.01


class Ticket:
    """A request that waits for a slot or holds one."""

    __slots__ = ("customer", "deadline_s", "request_key", "started_s")

    def __init__(
        self, request_key: str, customer: str, deadline_s: float
    ) -> None:
        self.request_key = request_key
        self.customer = customer
        self.deadline_s = deadline_s
        self.started_s = 0.0


class Admission:
    """Slots and a bounded queue that is ordered by deadline.

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
        self.running: dict[str, Ticket] = {}
        self.service_time_s = FIRST_SERVICE_TIME_S
        self._queue: SortedKeyList[Ticket] = SortedKeyList(
            key=lambda ticket: ticket.deadline_s
        )
        self._waiting: dict[str, Ticket] = {}

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    def offer(self, ticket: Ticket, now_s: float) -> bool:
        """Admit a request or queue it.

        Parameters
        ----------
        ticket : Ticket
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
        if len(self.running) < self.slots and not self._queue:
            self._start(ticket, now_s)
            return True
        wait_s = self._wait_s(ticket)
        if len(self.running) + len(self._queue) >= self.connections:
            raise OverloadedError(
                "all connections of the endpoint are taken",
                retry_after_s=wait_s,
            )
        if now_s + wait_s + self.service_time_s > ticket.deadline_s:
            raise DeadlinePassedError(
                "the queue is too long for the request's deadline",
                retry_after_s=wait_s,
            )
        self._queue.add(ticket)
        self._waiting[ticket.request_key] = ticket
        return False

    def finish(self, request_key: str, now_s: float) -> None:
        """Free the slot of a request that ended."""
        ticket = self.running.pop(request_key, None)
        if ticket is None:
            return
        took_s = now_s - ticket.started_s
        self.service_time_s += SERVICE_TIME_WEIGHT * (
            took_s - self.service_time_s
        )

    def cancel(self, request_key: str) -> bool:
        """Drop a waiting request; False when it runs or is unknown."""
        ticket = self._waiting.pop(request_key, None)
        if ticket is None:
            return False
        self._queue.remove(ticket)
        return True

    def start_next(self, now_s: float) -> Ticket | None:
        """Start the waiting request with the earliest deadline."""
        if not self._queue or len(self.running) >= self.slots:
            return None
        ticket: Ticket = self._queue.pop(0)
        del self._waiting[ticket.request_key]
        self._start(ticket, now_s)
        return ticket

    def expire(self, now_s: float) -> list[Ticket]:
        """Drop the waiting requests that can't end in time."""
        late = []
        while self._queue:
            if self._queue[0].deadline_s > now_s + self.service_time_s:
                break
            ticket = self._queue.pop(0)
            del self._waiting[ticket.request_key]
            late.append(ticket)
        return late

    def _start(self, ticket: Ticket, now_s: float) -> None:
        ticket.started_s = now_s
        self.running[ticket.request_key] = ticket

    def _wait_s(self, ticket: Ticket) -> float:
        ahead = self._queue.bisect_key_right(ticket.deadline_s)
        return float((ahead + 1) * self.service_time_s / self.slots)
