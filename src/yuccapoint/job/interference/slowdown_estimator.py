"""Estimation of the slowdown that batch classes add to a VM's service."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.job.interference.neighbour import Neighbour

BASELINE = ""  # name of the state that holds the service's own slowdown
MAX_JOB_CLASSES = 16
DEFAULT_SLOWDOWN = 0.05  # assumed for a class without measurements
# Initial standard deviations; the uncertainty does not grow past them.
INITIAL_WEIGHT_SD = 0.4
INITIAL_BASELINE_SD = 0.1
WEIGHT_DRIFT_PER_S = 0.01
BASELINE_DRIFT_PER_S = 0.01
MEASUREMENT_NOISE_SD = 0.16
OUTLIER_SDS = 3.0  # larger innovations are clipped
SIGNIFICANT_SDS = 2.0
MAX_PREDICTION_STEP_S = 10.0
COUNT_HALF_LIFE_S = 60.0
MIN_RECENT_COUNT = 4.0  # local samples that take precedence over a prior
# Keeps a prior uncertain enough for local samples to correct it.
MIN_PRIOR_SD = 0.15


class SlowdownEstimator:
    """Kalman filter over the batch classes beside one service class.

    The model of the measured slowdown minus 1 is the service's own
    baseline plus the weight of each neighbour's class times its share.
    Process noise makes old samples lose influence and lets the uncertainty
    grow where nothing is measured. Weights are clipped at 0.

    Attributes
    ----------
    counts : dict of str to float
        Samples by class, weighted by share and decaying over time.
    """

    def __init__(self) -> None:
        self.counts: dict[str, float] = {}
        self._names: list[str] = [BASELINE]
        self._weights: list[float] = [0.0]
        self._covariance: list[list[float]] = [[INITIAL_BASELINE_SD**2]]
        self._updated_at_s = -math.inf

    @property
    def baseline(self) -> float:
        """Slowdown minus 1 of the service without batch tasks beside it."""
        return self._weights[0]

    @property
    def classes(self) -> list[str]:
        """The batch classes that have an estimate."""
        return self._names[1:]

    def weight(self, job_class: str) -> float:
        """Return the slowdown that a task of the class adds at full share."""
        if job_class not in self._names:
            return DEFAULT_SLOWDOWN
        return self._weights[self._names.index(job_class)]

    def deviation(self, job_class: str) -> float:
        """Return the standard deviation of the class's weight."""
        if job_class not in self._names:
            return INITIAL_WEIGHT_SD
        index = self._names.index(job_class)
        return math.sqrt(max(0.0, self._covariance[index][index]))

    def upper(self, job_class: str) -> float:
        """Return the weight plus one standard deviation."""
        return self.weight(job_class) + self.deviation(job_class)

    def lower(self, job_class: str) -> float:
        """Return the weight minus one standard deviation, at least 0."""
        return max(0.0, self.weight(job_class) - self.deviation(job_class))

    def is_significant(self, job_class: str) -> bool:
        """Return whether the class slows the service significantly."""
        return self.weight(job_class) > SIGNIFICANT_SDS * self.deviation(
            job_class
        )

    def excess(self, neighbours: list[Neighbour]) -> float:
        """Return the slowdown that the neighbours are expected to add."""
        return sum(self.weight(n.job_class) * n.share for n in neighbours)

    def apply_prior(
        self, job_class: str, weight: float, deviation: float
    ) -> None:
        """Set the estimate of a class that has no recent local samples."""
        if self.counts.get(job_class, 0.0) >= MIN_RECENT_COUNT:
            return
        if job_class in self._names:
            self._drop(job_class)
        self._add(job_class, weight, max(deviation, MIN_PRIOR_SD))

    def recent_classes(self) -> list[str]:
        """Return the classes with recent samples, most samples first."""
        recent = [
            n for n in self.classes if self.counts.get(n, 0) > MIN_RECENT_COUNT
        ]
        return sorted(recent, key=lambda n: -self.counts[n])

    def update(
        self, neighbours: list[Neighbour], slowdown: float, at_s: float
    ) -> None:
        """Update the estimates with one measurement.

        Parameters
        ----------
        neighbours : list of Neighbour
            The tasks that ran at the time of the measurement.
        slowdown : float
            Ratio of the service time to that on an idle VM.
        at_s : float
            Time that the measurement describes, in seconds.
        """
        for neighbour in neighbours:
            if neighbour.job_class not in self._names:
                self._add(
                    neighbour.job_class, DEFAULT_SLOWDOWN, INITIAL_WEIGHT_SD
                )
        self._predict(at_s)
        features = [0.0] * len(self._names)
        features[0] = 1.0
        for neighbour in neighbours:
            features[self._names.index(neighbour.job_class)] += neighbour.share
        self._correct(features, slowdown - 1.0)
        for name, share in zip(self._names, features, strict=True):
            if share and name != BASELINE:
                self.counts[name] = self.counts.get(name, 0.0) + share

    def _predict(self, at_s: float) -> None:
        step_s = min(MAX_PREDICTION_STEP_S, at_s - self._updated_at_s)
        if step_s <= 0:
            return
        self._updated_at_s = at_s
        decay = 0.5 ** (step_s / COUNT_HALF_LIFE_S)
        for name in self.counts:
            self.counts[name] *= decay
        for index in range(len(self._names)):
            drift, max_sd = WEIGHT_DRIFT_PER_S, INITIAL_WEIGHT_SD
            if index == 0:
                drift, max_sd = BASELINE_DRIFT_PER_S, INITIAL_BASELINE_SD
            variance = self._covariance[index][index] + drift**2 * step_s
            if variance <= max_sd**2:
                self._covariance[index][index] = variance

    def _correct(self, features: list[float], measured: float) -> None:
        gains = [_dot(row, features) for row in self._covariance]
        innovation_variance = _dot(gains, features) + MEASUREMENT_NOISE_SD**2
        innovation = measured - _dot(self._weights, features)
        limit = OUTLIER_SDS * math.sqrt(innovation_variance)
        innovation = max(-limit, min(limit, innovation))
        for index, gain in enumerate(gains):
            weight = (
                self._weights[index] + gain / innovation_variance * innovation
            )
            self._weights[index] = max(0.0, weight)
            row = self._covariance[index]
            for other, other_gain in enumerate(gains):
                row[other] -= gain * other_gain / innovation_variance

    def _add(self, job_class: str, weight: float, deviation: float) -> None:
        if len(self._names) > MAX_JOB_CLASSES:
            self._drop(min(self.classes, key=lambda n: self.counts.get(n, 0)))
        for row in self._covariance:
            row.append(0.0)
        self._covariance.append([0.0] * len(self._names))
        self._covariance[-1].append(deviation**2)
        self._names.append(job_class)
        self._weights.append(weight)

    def _drop(self, job_class: str) -> None:
        index = self._names.index(job_class)
        del self._names[index]
        del self._weights[index]
        del self._covariance[index]
        for row in self._covariance:
            del row[index]
        self.counts.pop(job_class, None)


def _dot(left: list[float], right: list[float]) -> float:
    return sum(a * b for a, b in zip(left, right, strict=True))
