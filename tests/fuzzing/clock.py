"""Virtual time: one event loop, and a separate clock for each member."""

from __future__ import annotations

import asyncio
import contextvars
import sys
import time

EPOCH_S = 1_700_000_000
MAX_LOOP_ITERATIONS = 400
CURRENT_CLOCK: contextvars.ContextVar[MemberClock] = contextvars.ContextVar(
    "clock"
)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is advanced explicitly."""

    def __init__(self) -> None:
        self.now_s = 1000.0
        super().__init__()

    def time(self) -> float:
        return self.now_s

    def settle(self) -> None:
        """Run callbacks until none is ready or due."""
        for _ in range(MAX_LOOP_ITERATIONS):
            due = self._scheduled and self._scheduled[0].when() <= self.now_s
            if not self._ready and not due:
                return
            self.call_soon(self.stop)
            self.run_forever()


class MemberClock:
    """A clock whose monotonic time runs faster or slower than the loop."""

    def __init__(self, loop: VirtualLoop, rate: float) -> None:
        self._loop = loop
        self._rate = rate

    def monotonic(self) -> float:
        return self._loop.now_s * self._rate

    def time_ns(self) -> int:
        return int((EPOCH_S + self._loop.now_s) * 1e9)


class ScriptedTime:
    """Replaces the module ``time`` in the modules of ``yuccapoint``."""

    def __init__(self) -> None:
        self._replaced = [
            module
            for name, module in list(sys.modules.items())
            if name.startswith("yuccapoint.")
            and getattr(module, "time", None) is time
        ]
        for module in self._replaced:
            module.time = self

    def monotonic(self) -> float:
        return CURRENT_CLOCK.get().monotonic()

    def time_ns(self) -> int:
        return CURRENT_CLOCK.get().time_ns()

    def time(self) -> float:
        return self.time_ns() / 1e9

    def perf_counter(self) -> float:
        return time.perf_counter()

    def restore(self) -> None:
        for module in self._replaced:
            module.time = time
