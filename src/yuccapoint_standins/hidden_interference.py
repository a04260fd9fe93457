"""The true interference, which the product never sees."""

from __future__ import annotations

import math
import random

import msgspec

NOISY_SHARE = 0.25
NOISY_SLOWDOWN = (0.3, 0.9)
QUIET_SLOWDOWN = (0.0, 0.04)
CHANGE_EVERY_S = (200.0, 500.0)
OWN_SWING = 0.06
CHANGES = 8


class Swing(msgspec.Struct, frozen=True):
    """Waves in the interference.

    Attributes
    ----------
    part : float
        Height of the waves against the mean.
    least_s, most_s : float
        Bounds of their periods.
    """

    part: float
    least_s: float
    most_s: float


SLOW = Swing(0.25, 60.0, 180.0)
NOISY = Swing(1.0, 6.0, 20.0)


class HiddenPair:
    """How one batch class slows one service class over time."""

    __slots__ = ("_changes", "_period_s", "_phase", "_swing")

    def __init__(self, rng: random.Random, swing: Swing) -> None:
        self._swing = swing.part
        self._period_s = rng.uniform(swing.least_s, swing.most_s)
        self._phase = rng.uniform(0.0, math.tau)
        self._changes: list[tuple[float, float]] = []
        from_s = 0.0
        for _ in range(CHANGES):
            noisy = rng.random() < NOISY_SHARE
            bounds = NOISY_SLOWDOWN if noisy else QUIET_SLOWDOWN
            self._changes.append((from_s, rng.uniform(*bounds)))
            from_s += rng.uniform(*CHANGE_EVERY_S)

    def slowdown(self, at_s: float) -> float:
        """Slowdown that a task at full share adds."""
        base = 0.0
        for from_s, value in self._changes:
            if at_s >= from_s:
                base = value
        wave = math.sin(math.tau * at_s / self._period_s + self._phase)
        return base * (1.0 + self._swing * wave)


class HiddenInterference:
    """The true slowdown by pair; it differs by seed and changes.

    Parameters
    ----------
    seed : int
        Seed of all pairs.
    swing : Swing
        The waves of each pair.
    """

    def __init__(self, seed: int, swing: Swing = SLOW) -> None:
        self._seed = seed
        self._swing = swing
        self._pairs: dict[tuple[str, str], HiddenPair] = {}

    def slowdown(self, service: str, job_class: str, at_s: float) -> float:
        """Slowdown that a task of the class adds to the service."""
        key = (service, job_class)
        if key not in self._pairs:
            rng = random.Random(f"{self._seed}/{service}/{job_class}")
            self._pairs[key] = HiddenPair(rng, self._swing)
        return self._pairs[key].slowdown(at_s)

    def own(self, vm: str, at_s: float) -> float:
        """Slowdown that the service's own load causes on a VM."""
        rng = random.Random(f"{self._seed}/{vm}")
        period_s = rng.uniform(SLOW.least_s, SLOW.most_s)
        phase = rng.uniform(0.0, math.tau)
        return OWN_SWING * (1.0 + math.sin(math.tau * at_s / period_s + phase))
