"""Periodic timer that does not follow the time of day."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class SteadyTimer:
    """Calls a function at an interval of the event loop's steady time.

    Tornado's ``PeriodicCallback`` follows the time of day and pauses for as
    long as that is set back.

    Parameters
    ----------
    callback : callable
        Called without arguments; an exception does not end the timer.
    interval_ms : int
        Time between two calls in milliseconds.
    """

    __slots__ = ("_callback", "_handle", "_interval_s")

    def __init__(self, callback: Callable[[], None], interval_ms: int) -> None:
        self._callback = callback
        self._interval_s = interval_ms / 1000
        self._handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Schedule the first call."""
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(self._interval_s, self._run)

    def stop(self) -> None:
        """Cancel all further calls."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _run(self) -> None:
        self.start()
        self._callback()
