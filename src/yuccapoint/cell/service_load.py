"""How busy a service is, judged by its tail latency."""

from __future__ import annotations

# The tail of an idle service is taken for this share of the least tail
# seen, and for at most this share of its target.
FLOOR_SHARE = 0.8
FLOOR_OF_TARGET = 0.25


class ServiceFloors:
    """Keeps the least tail seen of each image.

    The delay of a queue grows with one over what is left of its capacity,
    so that ``1 - floor / tail`` is its load, to which neighbours add.
    """

    __slots__ = ("_least_ms",)

    def __init__(self) -> None:
        self._least_ms: dict[str, float] = {}

    def load(self, image: str, tail_ms: float, target_ms: float) -> float:
        """Give the load, 0 to 1, at which a service has a tail.

        Parameters
        ----------
        image : str
            What the service runs.
        tail_ms, target_ms : float
            Measured tail latency and its target, in milliseconds.
        """
        floor_ms = self._floor_ms(image, tail_ms, target_ms)
        return 1.0 - floor_ms / max(tail_ms, floor_ms)

    def most_load(self, image: str, target_ms: float, share: float) -> float:
        """Give the load at which the tail is a share of its target."""
        floor_ms = self._floor_ms(image, 0.0, target_ms)
        return 1.0 - floor_ms / max(share * target_ms, floor_ms)

    def _floor_ms(self, image: str, tail_ms: float, target_ms: float) -> float:
        most_ms = FLOOR_OF_TARGET * target_ms
        least_ms = self._least_ms.get(image, most_ms / FLOOR_SHARE)
        if 0 < tail_ms < least_ms:
            least_ms = tail_ms
            self._least_ms[image] = least_ms
        return min(most_ms, FLOOR_SHARE * least_ms)
