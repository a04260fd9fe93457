"""How busy a service is, judged by its tail latency."""

from __future__ import annotations

# The tail of an idle service is taken for this share of the least tail
# seen, and for at most this share of its target.
BASELINE_SHARE = 0.8
MAX_BASELINE_TARGET_SHARE = 0.25


class LatencyBaselines:
    """Keeps the least tail seen of each image.

    The delay of a queue grows with one over what is left of its capacity,
    so that ``1 - floor / tail`` is its load, to which neighbours add.
    """

    __slots__ = ("_min_tails_ms",)

    def __init__(self) -> None:
        self._min_tails_ms: dict[str, float] = {}

    def load(self, image: str, tail_ms: float, target_ms: float) -> float:
        """Give the load, 0 to 1, at which a service has a tail.

        Parameters
        ----------
        image : str
            What the service runs.
        tail_ms, target_ms : float
            Measured tail latency and its target, in milliseconds.
        """
        baseline_ms = self._baseline_ms(image, tail_ms, target_ms)
        return 1.0 - baseline_ms / max(tail_ms, baseline_ms)

    def max_load(self, image: str, target_ms: float, share: float) -> float:
        """Give the load at which the tail is a share of its target."""
        baseline_ms = self._baseline_ms(image, 0.0, target_ms)
        return 1.0 - baseline_ms / max(share * target_ms, baseline_ms)

    def _baseline_ms(
        self, image: str, tail_ms: float, target_ms: float
    ) -> float:
        max_baseline_ms = MAX_BASELINE_TARGET_SHARE * target_ms
        min_tail_ms = self._min_tails_ms.get(
            image, max_baseline_ms / BASELINE_SHARE
        )
        if 0 < tail_ms < min_tail_ms:
            min_tail_ms = tail_ms
            self._min_tails_ms[image] = min_tail_ms
        return min(max_baseline_ms, BASELINE_SHARE * min_tail_ms)
