"""Validation and deduplication of measurements."""

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
    """Drops invalid, duplicated and late samples and detects stale data.

    Samples may arrive out of order. One that is older than the watermark,
    which trails the newest described time, is dropped as late.

    Attributes
    ----------
    newest_s : float
        Latest time that a sample describes.
    invalid_count : int
        Number of invalid samples.
    """

    def __init__(self) -> None:
        self.newest_s = -math.inf
        self.invalid_count = 0
        self._accepted: dict[float, None] = {}

    @property
    def watermark_s(self) -> float:
        """Samples that describe an earlier time are dropped."""
        return self.newest_s - ALLOWED_LATENESS_S

    def accept(
        self, samples: list[UsageSample], now_s: float
    ) -> list[UsageSample]:
        """Return the samples that are new, valid and not late.

        Parameters
        ----------
        samples : list of UsageSample
            Samples in the order of arrival.
        now_s : float
            Monotonic time in seconds.
        """
        accepted = []
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
            accepted.append(sample)
        self._prune()
        return accepted

    def is_stale(self, now_s: float) -> bool:
        """Return whether the latest sample is too old for a decision."""
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
