"""An entry's table of what all VMs learned about interference."""

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
MIN_DEVIATION = 0.03


class MergedPair:
    """Sums over the VMs that know a pair, each by its certainty."""

    __slots__ = ("certainty", "count", "weighted_sum", "vms")

    def __init__(self) -> None:
        self.certainty = 0.0
        self.weighted_sum = 0.0
        self.count = 0.0
        self.vms = 0

    def add(self, estimate: PairEstimate, sign: int) -> None:
        """Add a VM's estimate, or take it out with a sign of -1."""
        certainty = max(estimate.deviation, MIN_DEVIATION) ** -2
        self.certainty += sign * certainty
        self.weighted_sum += sign * certainty * estimate.slowdown
        self.count += sign * estimate.count
        self.vms += sign

    @property
    def slowdown(self) -> float:
        """The mean over the VMs."""
        return max(0.0, self.weighted_sum / max(self.certainty, 1e-9))


class PairTable:
    """Merges the VMs' reports; a VM's newest report replaces its last.

    A report is taken only if its agent's incarnation and its revision are
    above those of the one that it replaces, so that a doubled or late one
    changes nothing.
    """

    def __init__(self) -> None:
        self._revisions: dict[str, tuple[int, int]] = {}
        self._rows: dict[str, list[PairEstimate]] = {}
        self._merged: dict[tuple[str, str], MergedPair] = {}

    def __len__(self) -> int:
        return len(self._merged)

    def put(self, vm: str, incarnation: int, report: PairReport) -> bool:
        """Take a VM's report; False if it is not newer than the last."""
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
        """Drop what a VM reported."""
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
        """Slowdown that a task of the class is expected to add."""
        merged = self._merged.get((service, job_class))
        return DEFAULT_SLOWDOWN if merged is None else merged.slowdown

    def priors(self, service: str) -> list[PairEstimate]:
        """Give what is known, the pairs of a service first, bounded."""
        keys = sorted(
            self._merged,
            key=lambda key: (key[0] != service, -self._merged[key].count, key),
        )
        return [self._prior(key) for key in keys[:MAX_PRIORS]]

    def _prior(self, key: tuple[str, str]) -> PairEstimate:
        merged = self._merged[key]
        deviation = math.sqrt(1.0 / max(merged.certainty, 1e-9))
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
