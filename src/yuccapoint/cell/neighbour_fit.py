"""Regression of the load that each best-effort image adds to a service."""

from __future__ import annotations

import math

# Prior of an image that was not measured: most images add nothing, a few up
# to 0.25.
PRIOR_WEIGHT = 0.05
PRIOR_DEVIATION = 0.07
# Half-life of a measurement. Images behave alike for minutes, while
# services start and stop.
HALF_LIFE_S = 90.0
# Standard deviation of one measured difference between two VMs, as tails
# are measured in whole milliseconds.
NOISE_DEVIATION = 0.07
# Larger differences have other causes, such as a VM that has become slow.
MAX_LOAD_EXCESS = 0.5
# Limit of the images with a weight; the least measured one is evicted.
MAX_IMAGES = 32
# Passes of coordinate descent; each solution starts from the previous one.
SOLVER_PASSES = 4


class NeighbourFit:
    """Ridge regression with non-negative weights.

    A measurement is a difference between VMs that serve the same callers,
    so that the load of the callers cancels out. Sums of squares and
    products are kept and decay with time.
    """

    __slots__ = (
        "_decayed_at_s",
        "_moments",
        "_names",
        "_products",
        "_solved",
        "_weights",
    )

    def __init__(self) -> None:
        self._names: list[str] = []
        self._products: list[list[float]] = []
        self._moments: list[float] = []
        self._weights: list[float] = []
        self._decayed_at_s: float | None = None
        self._solved = True

    @property
    def images(self) -> tuple[str, ...]:
        """The images with a measurement or a prior."""
        return tuple(self._names)

    def weight(self, image: str) -> float:
        """Return the load that one neighbour of an image adds."""
        if image not in self._names:
            return PRIOR_WEIGHT
        if not self._solved:
            self._solve()
        return self._weights[self._names.index(image)]

    def deviation(self, image: str) -> float:
        """Return the standard deviation of a weight.

        It is too low for images that always run together, whose weights
        can't be separated well.
        """
        if image not in self._names:
            return PRIOR_DEVIATION
        index = self._names.index(image)
        return 1.0 / math.sqrt(
            self._products[index][index] + PRIOR_DEVIATION**-2
        )

    def set_prior(self, image: str, weight: float, deviation: float) -> None:
        """Set the estimate of a former leader as an image's prior."""
        if image in self._names:
            return
        index = self._add(image)
        known = max(0.0, deviation**-2 - PRIOR_DEVIATION**-2)
        self._products[index][index] = known
        ridge = PRIOR_DEVIATION**-2
        self._moments[index] = weight * (known + ridge) - PRIOR_WEIGHT * ridge
        self._weights[index] = weight

    def learn(
        self,
        shares: dict[str, float],
        excess: float,
        others: int,
        now_s: float,
    ) -> None:
        """Add one measurement.

        Parameters
        ----------
        shares : dict of str to float
            Excess of each image beside the service over the other VMs, in
            neighbours; negative where there is less of it.
        excess : float
            Excess of the service's load over the other VMs.
        others : int
            Number of the other VMs in the comparison.
        now_s : float
            Steady time in seconds.
        """
        self._decay(now_s)
        excess = max(-MAX_LOAD_EXCESS, min(MAX_LOAD_EXCESS, excess))
        variance = NOISE_DEVIATION**2 * (1.0 + 1.0 / others)
        present = [
            (self._index(image), share)
            for image, share in shares.items()
            if share
        ]
        for index, share in present:
            row = self._products[index]
            for other, other_share in present:
                row[other] += share * other_share / variance
            self._moments[index] += share * excess / variance
        self._solved = False

    def _decay(self, now_s: float) -> None:
        decayed_at_s, self._decayed_at_s = self._decayed_at_s, now_s
        if decayed_at_s is None:
            return
        elapsed_s = now_s - decayed_at_s
        factor = 0.5 ** (elapsed_s / HALF_LIFE_S)
        for index, row in enumerate(self._products):
            self._moments[index] *= factor
            for other in range(len(row)):
                row[other] *= factor

    def _solve(self) -> None:
        """Minimise the squares by coordinate descent."""
        ridge = PRIOR_DEVIATION**-2
        weights = self._weights
        for _ in range(SOLVER_PASSES):
            for index, row in enumerate(self._products):
                explained = sum(
                    product * weight
                    for product, weight in zip(row, weights, strict=True)
                )
                explained -= row[index] * weights[index]
                residual = (
                    self._moments[index] + ridge * PRIOR_WEIGHT - explained
                )
                weights[index] = max(0.0, residual / (row[index] + ridge))
        self._solved = True

    def _index(self, image: str) -> int:
        if image in self._names:
            return self._names.index(image)
        return self._add(image)

    def _add(self, image: str) -> int:
        if len(self._names) >= MAX_IMAGES:
            self._evict_least_measured()
        for row in self._products:
            row.append(0.0)
        self._names.append(image)
        self._products.append([0.0] * len(self._names))
        self._moments.append(0.0)
        self._weights.append(PRIOR_WEIGHT)
        return len(self._names) - 1

    def _evict_least_measured(self) -> None:
        index = min(
            range(len(self._names)), key=lambda i: self._products[i][i]
        )
        del self._names[index]
        del self._products[index]
        del self._moments[index]
        del self._weights[index]
        for row in self._products:
            del row[index]
