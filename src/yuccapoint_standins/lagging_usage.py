"""Measurements in transit: delayed, noisy, lost, late, duplicated."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    import random

    from yuccapoint.job.worker_events import UsageSample

MAX_SAMPLES = 100


class UsageFaults(msgspec.Struct, frozen=True, kw_only=True):
    """Faults of measurements.

    Attributes
    ----------
    lag_s : float
        Delay between the described time of a sample and its arrival.
    noise : float
        Standard deviation relative to the value.
    spikes : float
        Share of samples whose value is multiplied by 1.5.
    lost, doubled, late : float
        Shares of samples that are lost, arrive twice, or arrive late.
    late_s : float
        Upper bound of the additional delay of a late sample.
    blackouts : list of tuple
        Start and end, in seconds, of periods without samples.
    """

    lag_s: float = 1.0
    noise: float = 0.0
    spikes: float = 0.0
    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0
    late_s: float = 5.0
    blackouts: list[tuple[float, float]] = []


class LaggingUsage:
    """Delays samples and applies faults to them.

    Parameters
    ----------
    faults : UsageFaults
        Faults of the samples.
    rng : random.Random
        Random numbers for the faults.
    """

    def __init__(self, faults: UsageFaults, rng: random.Random) -> None:
        self.faults = faults
        self._rng = rng
        self._in_transit: collections.deque[tuple[float, UsageSample]] = (
            collections.deque(maxlen=MAX_SAMPLES)
        )

    def record(self, sample: UsageSample) -> None:
        """Record a true sample, which arrives later or is lost."""
        faults = self.faults
        draws = [self._rng.random() for _ in range(4)]
        noise = self._rng.gauss(0.0, 1.0) * faults.noise
        late_s = self._rng.uniform(0.0, faults.late_s)
        described_at_s = sample.described_at_s
        if any(a <= described_at_s < b for a, b in faults.blackouts):
            return
        if draws[0] < faults.lost:
            return
        slowdown = sample.service_slowdown * max(0.1, 1.0 + noise)
        if draws[1] < faults.spikes:
            slowdown *= 1.5
        arrives_at_s = described_at_s + faults.lag_s
        if draws[2] < faults.late:
            arrives_at_s += late_s
        sample = msgspec.structs.replace(sample, service_slowdown=slowdown)
        self._in_transit.append((arrives_at_s, sample))
        if draws[3] < faults.doubled:
            self._in_transit.append((arrives_at_s + late_s, sample))

    def arrived_samples(self, now_s: float) -> list[UsageSample]:
        """Return the newest samples that have arrived."""
        arrived = [pair for pair in self._in_transit if pair[0] <= now_s]
        arrived.sort(key=lambda pair: pair[0])
        return [sample for _, sample in arrived]
