"""Recent evictions on a VM."""

from __future__ import annotations

import math

# Batch work is stopped if the service is still over its allowance after
# this many evictions within the window.
EVICTION_WINDOW_S = 30.0
EVICTIONS_TO_STOP = 2


class EvictionHistory:
    """Keeps the times of the newest evictions."""

    __slots__ = ("_at_s",)

    def __init__(self) -> None:
        self._at_s: list[float] = []

    @property
    def last_s(self) -> float:
        """Time of the newest eviction in seconds."""
        return self._at_s[-1] if self._at_s else -math.inf

    def note(self, now_s: float) -> None:
        """Note an eviction."""
        self._at_s.append(now_s)
        self._at_s = self._at_s[-EVICTIONS_TO_STOP:]

    def is_frequent(self, now_s: float) -> bool:
        """Return whether so many evictions are recent that work is stopped."""
        recent = [
            at_s for at_s in self._at_s if now_s - at_s < EVICTION_WINDOW_S
        ]
        return len(recent) >= EVICTIONS_TO_STOP
