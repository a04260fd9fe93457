"""The newest decisions, for operators who watch or ask why."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.job.actions import Explain

MAX_DECISIONS = 2_000
MAX_BEHIND = 1_000


class Decisions:
    """Keeps the newest decisions and feeds those who watch."""

    def __init__(self) -> None:
        self._newest: collections.deque[Explain] = collections.deque(
            maxlen=MAX_DECISIONS
        )
        self._watchers: list[asyncio.Queue[Explain]] = []

    def note(self, decision: Explain) -> None:
        """Keep a decision and pass it to the watchers."""
        self._newest.append(decision)
        for watcher in self._watchers:
            if watcher.qsize() < MAX_BEHIND:
                watcher.put_nowait(decision)

    def about(self, field: str, value: str) -> list[Explain]:
        """Give the kept decisions whose field has a value."""
        return [d for d in self._newest if d.fields.get(field) == value]

    def watch(self) -> asyncio.Queue[Explain]:
        """Begin to watch; decisions arrive in the queue."""
        queue: asyncio.Queue[Explain] = asyncio.Queue()
        self._watchers.append(queue)
        return queue

    def unwatch(self, queue: asyncio.Queue[Explain]) -> None:
        """Stop watching."""
        self._watchers.remove(queue)
