"""The registry of measurements."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

Bench = Callable[[str, int], msgspec.Struct]

BENCHES: dict[str, Bench] = {}


def bench(name: str) -> Callable[[Bench], Bench]:
    """Register a measurement: deployment and seed in, figures out."""

    def register(measure: Bench) -> Bench:
        BENCHES[name] = measure
        return measure

    return register
