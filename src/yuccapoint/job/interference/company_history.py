"""Who ran beside the service, and at what throttle share, over time."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.job.interference.neighbour import Neighbour

MAX_NOTES = 64


class CompanyHistory:
    """A short bounded history; only changes are kept."""

    def __init__(self) -> None:
        self._from_s: list[float] = []
        self._companies: list[list[Neighbour]] = []

    def note(self, company: list[Neighbour], now_s: float) -> None:
        """Note who runs from now on, at what shares."""
        if self._companies and _same(self._companies[-1], company):
            return
        self._from_s.append(now_s)
        self._companies.append(company)
        if len(self._from_s) > MAX_NOTES:
            del self._from_s[0]
            del self._companies[0]

    def at(self, described_at_s: float) -> list[Neighbour] | None:
        """Give who ran at a time; None if that is not known any more."""
        index = bisect.bisect_right(self._from_s, described_at_s) - 1
        if index < 0:
            return None
        return self._companies[index]


def _same(before: list[Neighbour], after: list[Neighbour]) -> bool:
    if len(before) != len(after):
        return False
    for old, new in zip(before, after, strict=True):
        if old.job_id != new.job_id or old.share != new.share:
            return False
    return True
