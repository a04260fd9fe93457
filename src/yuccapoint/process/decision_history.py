"""Recent decisions, for operators' queries and live streams."""

from __future__ import annotations

import asyncio
import collections
from typing import Any

from yuccapoint.job.actions import Explain

MAX_DECISIONS = 2_000
MAX_QUEUED_DECISIONS = 1_000


class DecisionHistory:
    """Keeps recent decisions and streams new ones to subscribers.

    Routing decisions have a buffer of their own. A subscriber whose queue
    is full misses decisions.
    """

    def __init__(self) -> None:
        self._newest: collections.deque[Explain] = collections.deque(
            maxlen=MAX_DECISIONS
        )
        self._routed: collections.deque[Explain] = collections.deque(
            maxlen=MAX_DECISIONS
        )
        self._subscribers: list[asyncio.Queue[Explain]] = []

    @property
    def subscriber_count(self) -> int:
        """Number of queues that receive new decisions."""
        return len(self._subscribers)

    def add(self, decision: Explain) -> None:
        """Record a decision and pass it to the subscribers."""
        decisions = self._routed if decision.part == "route" else self._newest
        decisions.append(decision)
        for subscriber in self._subscribers:
            if subscriber.qsize() < MAX_QUEUED_DECISIONS:
                subscriber.put_nowait(decision)

    def add_log_line(
        self, part: str, text: str, fields: dict[str, Any]
    ) -> None:
        """Record a log line of this process as a decision."""
        self.add(Explain(part, text, fields))

    def find(self, field: str, value: str) -> list[Explain]:
        """Return the recorded decisions whose field has the value."""
        decisions = (*self._newest, *self._routed)
        return [d for d in decisions if d.fields.get(field) == value]

    def subscribe(self) -> asyncio.Queue[Explain]:
        """Return a queue that receives each new decision."""
        queue: asyncio.Queue[Explain] = asyncio.Queue()
        self._subscribers.append(queue)
        return queue

    def unsubscribe(self, queue: asyncio.Queue[Explain]) -> None:
        """Stop feeding a queue."""
        self._subscribers.remove(queue)
