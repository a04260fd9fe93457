"""Estimates the load of a service from its tail latency."""

from __future__ import annotations

# The tail latency of an idle service is assumed to be this share of the
# lowest measured tail, and at most the second share of its target.
BASELINE_SHARE_OF_MIN_TAIL = 0.8
MAX_BASELINE_SHARE_OF_TARGET = 0.25


class LatencyBaselines:
    """Tracks the lowest tail latency of each image.

    Queueing delay is inversely proportional to the spare capacity, so that
    ``1 - baseline / tail`` is the load. Neighbours add to it.
    """

    __slots__ = ("_min_tails_ms",)

    def __init__(self) -> None:
        self._min_tails_ms: dict[str, float] = {}

    def load(self, image: str, tail_ms: float, target_ms: float) -> float:
        """Return the load, 0 to 1, that a tail latency corresponds to.

        Parameters
        ----------
        image : str
            Image of the service.
        tail_ms, target_ms : float
            Measured tail latency and its target, in milliseconds.
        """
        baseline_ms = self._baseline_ms(image, tail_ms, target_ms)
        return 1.0 - baseline_ms / max(tail_ms, baseline_ms)

    def max_load(self, image: str, target_ms: float, share: float) -> float:
        """Return the load at which the tail is a share of its target."""
        baseline_ms = self._baseline_ms(image, 0.0, target_ms)
        return 1.0 - baseline_ms / max(share * target_ms, baseline_ms)

    def _baseline_ms(
        self, image: str, tail_ms: float, target_ms: float
    ) -> float:
        max_baseline_ms = MAX_BASELINE_SHARE_OF_TARGET * target_ms
        min_tail_ms = self._min_tails_ms.get(
            image, max_baseline_ms / BASELINE_SHARE_OF_MIN_TAIL
        )
        if 0 < tail_ms < min_tail_ms:
            min_tail_ms = tail_ms
            self._min_tails_ms[image] = min_tail_ms
        return min(max_baseline_ms, BASELINE_SHARE_OF_MIN_TAIL * min_tail_ms)
