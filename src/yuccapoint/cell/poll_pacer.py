"""Spacing of an agent's polls of its worker."""

from __future__ import annotations

# Interval to the next poll after one that was answered at once, doubled up to
# the maximum. Leaders usually acknowledge an end sooner than the first
# interval; the maximum is below the longest time that a worker holds a poll.
FIRST_INTERVAL_S = 0.05
MAX_INTERVAL_S = 0.4


class PollPacer:
    """Spaces the polls that the worker does not hold until an end.

    A worker answers a long poll at once while it lists an end that has not
    been acknowledged, which lasts as long as the leader or the store is
    away. Polling again at once would use up the agent's processor share.
    """

    __slots__ = ("_due_at_s", "_interval_s")

    def __init__(self) -> None:
        self._due_at_s = 0.0
        self._interval_s = 0.0

    def on_answer(self, sent_at_s: float, *, at_once: bool) -> None:
        """Schedule the next poll after an answer.

        Parameters
        ----------
        sent_at_s : float
            When the answered poll was sent, steady time in seconds.
        at_once : bool
            Whether the worker would answer the next poll at once too.
        """
        if not at_once:
            self.reset()
            return
        self._interval_s = min(
            MAX_INTERVAL_S, max(FIRST_INTERVAL_S, 2 * self._interval_s)
        )
        self._due_at_s = sent_at_s + self._interval_s

    def reset(self) -> None:
        """Allow the next poll at once."""
        self._due_at_s = 0.0
        self._interval_s = 0.0

    def delay_s(self, now_s: float) -> float:
        """Return the time in seconds until the next poll is due."""
        return max(0.0, self._due_at_s - now_s)
