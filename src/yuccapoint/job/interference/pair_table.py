"""An entry's interference estimates, merged over all VMs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from yuccapoint.job.interference.pair_report import PairEstimate
from yuccapoint.job.interference.slowdown_estimator import DEFAULT_SLOWDOWN

if TYPE_CHECKING:
    from yuccapoint.job.interference.pair_report import PairReport

MAX_PAIRS = 1_024
MAX_VMS = 30_000
MAX_PAIRS_PER_VM = 8
MAX_PRIORS = 64
# Bounds the weight of a single VM in the mean.
MIN_DEVIATION = 0.03


class MergedPair:
    """Inverse-variance weighted mean of the estimates of one pair."""

    __slots__ = ("count", "precision", "vms", "weighted_sum")

    def __init__(self) -> None:
        self.precision = 0.0
        self.weighted_sum = 0.0
        self.count = 0.0
        self.vms = 0

    def add(self, estimate: PairEstimate, sign: int) -> None:
        """Add a VM's estimate, or subtract it if ``sign`` is -1."""
        precision = max(estimate.deviation, MIN_DEVIATION) ** -2
        self.precision += sign * precision
        self.weighted_sum += sign * precision * estimate.slowdown
        self.count += sign * estimate.count
        self.vms += sign

    @property
    def slowdown(self) -> float:
        """Weighted mean of the slowdown."""
        return max(0.0, self.weighted_sum / max(self.precision, 1e-9))


class PairTable:
    """Merges the latest report of each VM.

    A pair is a service class and a batch class. A report replaces the
    VM's previous one only if its incarnation and revision are newer, so
    that duplicated and reordered reports have no effect.
    """

    def __init__(self) -> None:
        self._revisions: dict[str, tuple[int, int]] = {}
        self._rows: dict[str, list[PairEstimate]] = {}
        self._merged: dict[tuple[str, str], MergedPair] = {}

    def __len__(self) -> int:
        return len(self._merged)

    def put(self, vm: str, incarnation: int, report: PairReport) -> bool:
        """Merge a report; return False if it is not newer than the last."""
        revision = (incarnation, report.revision)
        if revision <= self._revisions.get(vm, (0, 0)):
            return False
        self.forget(vm)
        self._revisions[vm] = revision
        row = [pair for pair in report.pairs if _is_valid(pair)]
        row = row[:MAX_PAIRS_PER_VM]
        self._rows[vm] = row
        for pair in row:
            self._add(pair)
        if len(self._rows) > MAX_VMS:
            self.forget(next(iter(self._rows)))
        return True

    def forget(self, vm: str) -> None:
        """Remove the report of a VM."""
        self._revisions.pop(vm, None)
        for pair in self._rows.pop(vm, []):
            key = (pair.service, pair.job_class)
            merged = self._merged.get(key)
            if merged is None:
                continue
            merged.add(pair, -1)
            if merged.vms <= 0:
                del self._merged[key]

    def expected(self, service: str, job_class: str) -> float:
        """Return the expected slowdown from a task of the class."""
        merged = self._merged.get((service, job_class))
        return DEFAULT_SLOWDOWN if merged is None else merged.slowdown

    def priors(self, service: str) -> list[PairEstimate]:
        """Return at most ``MAX_PRIORS`` estimates, the service's first."""
        keys = sorted(
            self._merged,
            key=lambda key: (key[0] != service, -self._merged[key].count, key),
        )
        return [self._prior(key) for key in keys[:MAX_PRIORS]]

    def _prior(self, key: tuple[str, str]) -> PairEstimate:
        merged = self._merged[key]
        deviation = math.sqrt(1.0 / max(merged.precision, 1e-9))
        return PairEstimate(
            key[0], key[1], merged.slowdown, deviation, merged.count
        )

    def _add(self, pair: PairEstimate) -> None:
        key = (pair.service, pair.job_class)
        merged = self._merged.get(key)
        if merged is None:
            if len(self._merged) >= MAX_PAIRS:
                return
            merged = MergedPair()
            self._merged[key] = merged
        merged.add(pair, 1)


def _is_valid(pair: PairEstimate) -> bool:
    numbers = (pair.slowdown, pair.deviation, pair.count)
    return all(math.isfinite(number) and number >= 0 for number in numbers)
