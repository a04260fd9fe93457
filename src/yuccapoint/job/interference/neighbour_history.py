"""History of the batch tasks beside a service and their shares."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.job.interference.neighbour import Neighbour
    from yuccapoint.job.worker_events import UsageSample

MAX_CHANGES = 64


class NeighbourHistory:
    """Bounded history of the neighbours; only changes are stored."""

    def __init__(self) -> None:
        self._from_s: list[float] = []
        self._neighbours: list[list[Neighbour]] = []

    def record(self, neighbours: list[Neighbour], now_s: float) -> None:
        """Record the neighbours from ``now_s`` on, if they changed."""
        if self._neighbours and _equal(self._neighbours[-1], neighbours):
            return
        self._from_s.append(now_s)
        self._neighbours.append(neighbours)
        if len(self._from_s) > MAX_CHANGES:
            del self._from_s[0]
            del self._neighbours[0]

    def at(self, described_at_s: float) -> list[Neighbour] | None:
        """Return the neighbours at a time; None if not in the history."""
        index = bisect.bisect_right(self._from_s, described_at_s) - 1
        if index < 0:
            return None
        return self._neighbours[index]

    def described_by(self, sample: UsageSample) -> list[Neighbour] | None:
        """Return the tasks that a sample describes; None if unknown."""
        neighbours = self.at(sample.described_at_s)
        if neighbours is None:
            return None
        present = set(sample.job_ids)
        described = [n for n in neighbours if n.job_id in present]
        return described if len(described) == len(present) else None


def _equal(before: list[Neighbour], after: list[Neighbour]) -> bool:
    if len(before) != len(after):
        return False
    for old, new in zip(before, after, strict=True):
        if old.job_id != new.job_id or old.share != new.share:
            return False
    return True
