"""Clocks of a process, among them one that counts VM suspension."""

from __future__ import annotations

import time


def steady_s() -> float:
    """Return steady time in seconds, including suspended time.

    A lease expires while its holder is suspended, and the usual monotonic
    clock stops during a suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return wall-clock time in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000
