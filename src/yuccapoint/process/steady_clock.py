"""A steady clock that counts the time for which a VM was suspended."""

from __future__ import annotations

import time


def steady_s() -> float:
    """Give steady time in seconds.

    A lease runs on while its holder is suspended, which the usual
    monotonic clock does not count.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Give wall-clock time in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000
