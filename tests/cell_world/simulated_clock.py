"""Clock of a simulated cell."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING
from unittest import mock

from yuccapoint.process import cell_entry_process
from yuccapoint.process import cell_job_gateway
from yuccapoint.process import steady_clock

if TYPE_CHECKING:
    from collections.abc import Iterator

# Modules that read the time.
TIMED_MODULES = (cell_entry_process, cell_job_gateway, steady_clock)


class SimulatedClock:
    """Stands in for the ``time`` module of the entries' code."""

    CLOCK_BOOTTIME = 0

    def __init__(self, now_s: float) -> None:
        self.now_s = now_s

    def monotonic(self) -> float:
        return self.now_s

    def clock_gettime(self, clock: int) -> float:
        del clock
        return self.now_s

    def time_ns(self) -> int:
        return int(self.now_s * 1e9)

    @contextlib.contextmanager
    def installed(self) -> Iterator[None]:
        """Let the entries' code read this clock."""
        with contextlib.ExitStack() as stack:
            for module in TIMED_MODULES:
                patch = mock.patch.object(module, "time", self)
                stack.enter_context(patch)
            yield
