"""The registry of benchmarks."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

Bench = Callable[[str, int], msgspec.Struct]

BENCHES: dict[str, Bench] = {}


def bench(name: str) -> Callable[[Bench], Bench]:
    """Register a benchmark, which maps deployment and seed to results."""

    def register(measure: Bench) -> Bench:
        BENCHES[name] = measure
        return measure

    return register
