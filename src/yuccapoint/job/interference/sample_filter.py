"""Lets each usable measurement through once."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.job.worker_events import UsageSample

ALLOWED_LATENESS_S = 6.0
MAX_SAMPLE_AGE_S = 12.0
STALE_AFTER_S = 5.0
MAX_SLOWDOWN = 100.0
MAX_FUTURE_S = 0.5


class SampleFilter:
    """Drops bad, doubled and too late samples and tells staleness.

    A sample may come late until the watermark, which trails the newest
    described time, has passed it.

    Attributes
    ----------
    newest_s : float
        Newest time that a sample described.
    invalid_count : int
        Samples that made no sense.
    """

    def __init__(self) -> None:
        self.newest_s = -math.inf
        self.invalid_count = 0
        self._accepted: dict[float, None] = {}

    @property
    def watermark_s(self) -> float:
        """Samples that describe an earlier time are not taken any more."""
        return self.newest_s - ALLOWED_LATENESS_S

    def accept(
        self, samples: list[UsageSample], now_s: float
    ) -> list[UsageSample]:
        """Give the samples that are new and usable.

        Parameters
        ----------
        samples : list of UsageSample
            As they came, in any order.
        now_s : float
            Monotonic time in seconds.
        """
        new = []
        for sample in samples:
            if sample.described_at_s in self._accepted:
                continue
            if not _is_valid(sample, now_s):
                self.invalid_count += 1
                continue
            if not self._is_recent(sample, now_s):
                continue
            self._accepted[sample.described_at_s] = None
            self.newest_s = max(self.newest_s, sample.described_at_s)
            new.append(sample)
        self._prune()
        return new

    def is_stale(self, now_s: float) -> bool:
        """Tell whether the newest sample is too old to decide on."""
        return now_s - self.newest_s > STALE_AFTER_S

    def _is_recent(self, sample: UsageSample, now_s: float) -> bool:
        oldest_s = max(self.watermark_s, now_s - MAX_SAMPLE_AGE_S)
        return sample.described_at_s >= oldest_s

    def _prune(self) -> None:
        watermark_s = self.watermark_s
        for described_at_s in list(self._accepted):
            if described_at_s < watermark_s:
                del self._accepted[described_at_s]


def _is_valid(sample: UsageSample, now_s: float) -> bool:
    if not math.isfinite(sample.described_at_s):
        return False
    if not 0 < sample.service_slowdown <= MAX_SLOWDOWN:
        return False
    return sample.described_at_s <= now_s + MAX_FUTURE_S
