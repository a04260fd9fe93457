"""Resource quantities in whole units."""

from __future__ import annotations

import sys

import msgspec


class Size(msgspec.Struct, frozen=True):
    """Processors, memory and accelerators of a task or a VM.

    Attributes
    ----------
    millicores : int
        Thousandths of a processor.
    memory_bytes : int
        Memory in bytes.
    accelerators : int
        Whole accelerators.
    """

    millicores: int = 0
    memory_bytes: int = 0
    accelerators: int = 0

    def __add__(self, other: Size) -> Size:
        return Size(
            self.millicores + other.millicores,
            self.memory_bytes + other.memory_bytes,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Size) -> Size:
        return Size(
            self.millicores - other.millicores,
            self.memory_bytes - other.memory_bytes,
            self.accelerators - other.accelerators,
        )

    def fits(self, available: Size) -> bool:
        """Return whether this size fits into ``available``."""
        return (
            self.millicores <= available.millicores
            and self.memory_bytes <= available.memory_bytes
            and self.accelerators <= available.accelerators
        )

    def times_in(self, available: Size) -> int:
        """Return how many of this size fit into ``available``, at most."""
        counts = [
            room // size
            for size, room in (
                (self.millicores, available.millicores),
                (self.memory_bytes, available.memory_bytes),
                (self.accelerators, available.accelerators),
            )
            if size
        ]
        return max(0, min(counts, default=sys.maxsize))

    @property
    def valid(self) -> bool:
        """Whether no dimension is negative."""
        return min(self.millicores, self.memory_bytes, self.accelerators) >= 0
