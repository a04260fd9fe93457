"""Event loop of a simulated process."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cell_world.simulated_clock import SimulatedClock


class _NoSelector:
    """Selects no files, as a simulated process has none."""

    def select(self, timeout: float | None) -> list[Any]:
        del timeout
        return []


class SimulatedLoop(asyncio.BaseEventLoop):
    """Runs what is due at the simulated time, and then returns.

    A loop that isn't run is a frozen process: its timers and the results
    of its calls are due at once when it runs again.

    Parameters
    ----------
    clock : SimulatedClock
        The simulated time.

    Attributes
    ----------
    errors : list of str
        Exceptions that no task has handled.
    """

    def __init__(self, clock: SimulatedClock) -> None:
        super().__init__()
        self.errors: list[str] = []
        self._clock = clock
        self._selector = _NoSelector()
        self.set_exception_handler(self._note_error)

    def __del__(self, _warn: Any = None) -> None:
        """Drop the loop of a killed process, which was never closed."""

    def time(self) -> float:
        return self._clock.now_s

    def run_due(self) -> None:
        """Run all callbacks that are due."""
        asyncio._set_running_loop(self)
        try:
            while True:
                self._run_once()
                if not self._ready and not self._has_due_timer():
                    return
        finally:
            asyncio._set_running_loop(None)

    def _has_due_timer(self) -> bool:
        return bool(self._scheduled) and self._scheduled[0].when() <= (
            self.time()
        )

    def _process_events(self, event_list: list[Any]) -> None:
        del event_list

    def _note_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        del loop
        if "exception" in context:
            self.errors.append(repr(context["exception"]))
