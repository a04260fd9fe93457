"""Log of a simulated process."""

from __future__ import annotations

import collections
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cell_world.simulated_clock import SimulatedClock

# Lines that are kept to trace a violation.
KEPT_LINES = 2_000


class LogModel:
    """Stands in for ``ProcessLogger`` and keeps the last lines.

    Attributes
    ----------
    lines : deque of tuple
        Time, part, text and fields of the last lines.
    leader_lines : deque of tuple
        Time, text and fields of the last ones of the part ``leader``, which
        are few beside those on tasks.
    """

    def __init__(self, clock: SimulatedClock) -> None:
        self.lines: collections.deque[
            tuple[float, str, str, dict[str, Any]]
        ] = collections.deque(maxlen=KEPT_LINES)
        self.leader_lines: collections.deque[
            tuple[float, str, dict[str, Any]]
        ] = collections.deque(maxlen=KEPT_LINES)
        self._clock = clock

    def log(self, part: str, text: str, **fields: Any) -> None:
        self.lines.append((self._clock.now_s, part, text, fields))
        if part == "leader":
            self.leader_lines.append((self._clock.now_s, text, fields))
