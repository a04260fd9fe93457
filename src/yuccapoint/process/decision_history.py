"""The newest decisions, for operators who watch or ask why."""

from __future__ import annotations

import asyncio
import collections
from typing import Any

from yuccapoint.job.actions import Explain

MAX_DECISIONS = 2_000
MAX_BEHIND = 1_000


class DecisionHistory:
    """Keeps the newest decisions and feeds those who watch."""

    def __init__(self) -> None:
        self._newest: collections.deque[Explain] = collections.deque(
            maxlen=MAX_DECISIONS
        )
        self._routed: collections.deque[Explain] = collections.deque(
            maxlen=MAX_DECISIONS
        )
        self._watchers: list[asyncio.Queue[Explain]] = []

    def note(self, decision: Explain) -> None:
        """Keep a decision and pass it to the watchers."""
        kept = self._routed if decision.part == "route" else self._newest
        kept.append(decision)
        for watcher in self._watchers:
            if watcher.qsize() < MAX_BEHIND:
                watcher.put_nowait(decision)

    def observe(self, part: str, text: str, fields: dict[str, Any]) -> None:
        """Keep a log line of this process as a decision."""
        self.note(Explain(part, text, fields))

    def about(self, field: str, value: str) -> list[Explain]:
        """Give the kept decisions whose field has a value."""
        kept = (*self._newest, *self._routed)
        return [d for d in kept if d.fields.get(field) == value]

    def watch(self) -> asyncio.Queue[Explain]:
        """Begin to watch; decisions arrive in the queue."""
        queue: asyncio.Queue[Explain] = asyncio.Queue()
        self._watchers.append(queue)
        return queue

    def unwatch(self, queue: asyncio.Queue[Explain]) -> None:
        """Stop watching."""
        self._watchers.remove(queue)
