"""The true interference, which is hidden from the scheduler."""

from __future__ import annotations

import math
import random

import msgspec

NOISY_SHARE = 0.25
NOISY_SLOWDOWN_RANGE = (0.3, 0.9)
QUIET_SLOWDOWN_RANGE = (0.0, 0.04)
LEVEL_DURATION_RANGE_S = (200.0, 500.0)
OWN_LOAD_AMPLITUDE = 0.06
LEVEL_COUNT = 8


class Oscillation(msgspec.Struct, frozen=True):
    """Periodic variation of the interference.

    Attributes
    ----------
    relative_amplitude : float
        Amplitude relative to the mean.
    min_period_s, max_period_s : float
        Bounds of the period.
    """

    relative_amplitude: float
    min_period_s: float
    max_period_s: float


SLOW_OSCILLATION = Oscillation(0.25, 60.0, 180.0)
FAST_OSCILLATION = Oscillation(1.0, 6.0, 20.0)


class PairInterference:
    """Slowdown of one service by one batch class over time."""

    __slots__ = ("_levels", "_period_s", "_phase", "_relative_amplitude")

    def __init__(self, rng: random.Random, oscillation: Oscillation) -> None:
        self._relative_amplitude = oscillation.relative_amplitude
        self._period_s = rng.uniform(
            oscillation.min_period_s, oscillation.max_period_s
        )
        self._phase = rng.uniform(0.0, math.tau)
        self._levels: list[tuple[float, float]] = []
        from_s = 0.0
        for _ in range(LEVEL_COUNT):
            noisy = rng.random() < NOISY_SHARE
            bounds = NOISY_SLOWDOWN_RANGE if noisy else QUIET_SLOWDOWN_RANGE
            self._levels.append((from_s, rng.uniform(*bounds)))
            from_s += rng.uniform(*LEVEL_DURATION_RANGE_S)

    def slowdown(self, at_s: float) -> float:
        """Return the slowdown that a task at full share adds."""
        base = 0.0
        for from_s, level in self._levels:
            if at_s >= from_s:
                base = level
        wave = math.sin(math.tau * at_s / self._period_s + self._phase)
        return base * (1.0 + self._relative_amplitude * wave)


class HiddenInterference:
    """The true slowdown by pair, which depends on the seed and the time.

    Parameters
    ----------
    seed : int
        Seed of all pairs and VMs.
    oscillation : Oscillation
        Periodic variation of each pair.
    """

    def __init__(
        self, seed: int, oscillation: Oscillation = SLOW_OSCILLATION
    ) -> None:
        self._seed = seed
        self._oscillation = oscillation
        self._pairs: dict[tuple[str, str], PairInterference] = {}

    def slowdown(self, service: str, job_class: str, at_s: float) -> float:
        """Return the slowdown that a task of the class adds to the service."""
        key = (service, job_class)
        if key not in self._pairs:
            rng = random.Random(f"{self._seed}/{service}/{job_class}")
            self._pairs[key] = PairInterference(rng, self._oscillation)
        return self._pairs[key].slowdown(at_s)

    def own_load_slowdown(self, vm: str, at_s: float) -> float:
        """Return the slowdown that a service's own load causes on a VM."""
        rng = random.Random(f"{self._seed}/{vm}")
        period_s = rng.uniform(
            SLOW_OSCILLATION.min_period_s, SLOW_OSCILLATION.max_period_s
        )
        phase = rng.uniform(0.0, math.tau)
        return OWN_LOAD_AMPLITUDE * (
            1.0 + math.sin(math.tau * at_s / period_s + phase)
        )
