"""Starts that the worker's next instance executed before it checked in."""

from __future__ import annotations

from yuccapoint.cell.tracked_run import SUSPECT_RUN_S
from yuccapoint.cell.worker_clock import WorkerClock

# An instance that began this long after the one before it is told apart by
# its clock only for so long, as clocks may be 2 % slow.
MAX_CLOCK_GAP_S = 1.0

RunKey = tuple[str, int]


class NextStarts:
    """Finds starts that their worker's instance has outlived.

    A start that was meant for an instance that crashed may be executed by
    the next one. If that instance goes on, the start didn't crash the former
    one either.
    """

    __slots__ = ("_executed", "_outlived")

    def __init__(self) -> None:
        # When each start was first answered by an instance that has not
        # checked in, with that instance's clock.
        self._executed: dict[RunKey, tuple[float, WorkerClock]] = {}
        # The same times for starts that the present instance executed.
        self._outlived: dict[RunKey, float] = {}

    def note_executed(self, key: RunKey, clock_ms: int, now_s: float) -> None:
        """Note the answer to a start by an instance after the present one."""
        known = self._executed.get(key)
        if known is not None and clock_ms >= known[1].least_ms(now_s):
            return
        for other, (at_s, _) in list(self._executed.items()):
            if now_s - at_s > MAX_CLOCK_GAP_S:
                del self._executed[other]
        # The first one, or a later instance than the one that answered first.
        clock = WorkerClock()
        clock.set(clock_ms, now_s)
        self._executed[key] = (now_s, clock)

    def begin_instance(self, clock_ms: int, now_s: float) -> None:
        """Keep the starts that the instance that checks in has executed.

        Parameters
        ----------
        clock_ms : int
            Its clock in milliseconds.
        now_s : float
            Steady time in seconds.
        """
        self._outlived = {}
        for key, (at_s, clock) in self._executed.items():
            if now_s - at_s > MAX_CLOCK_GAP_S:
                continue
            if clock_ms >= clock.least_ms(now_s):
                self._outlived[key] = at_s
        self._executed = {}

    def take_outlived(self, sent_at_s: float) -> list[RunKey]:
        """Return the starts that the present instance has outlived.

        Parameters
        ----------
        sent_at_s : float
            When the poll was sent that the instance has answered.
        """
        outlived = [
            key
            for key, at_s in self._outlived.items()
            if sent_at_s - at_s >= SUSPECT_RUN_S
        ]
        for key in outlived:
            del self._outlived[key]
        return outlived
