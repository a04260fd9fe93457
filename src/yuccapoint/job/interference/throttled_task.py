"""Throttle state of a batch task."""

from __future__ import annotations

import math

# Backoff between a change of the share and the next raise.
MIN_RAISE_BACKOFF_S = 6.0
MAX_RAISE_BACKOFF_S = 60.0
REVERSAL_WINDOW_S = 15.0  # lowering this soon after a raise is a reversal
MAX_RAISE_STEP = 0.3
BACKOFF_RESET_S = 120.0  # without a change for this long, backoff restarts


class ThrottledTask:
    """The throttle that the guard applies to one attempt.

    Lowering the share soon after a raise doubles the backoff before the
    next raise, which keeps the share from oscillating with periodic load.

    Attributes
    ----------
    first_seen_at_s : float
        When the guard first saw the attempt.
    share : float
        Share of its requested processors that the task may use.
    changed_at_s : float
        When the share last changed.
    was_limited : bool
        Whether the worker may still apply a limit to the task.
    lost_s : float
        Run time at full share lost to throttling.
    reversals : int
        Number of changes between lowering and raising.
    """

    __slots__ = (
        "_backoff_s",
        "_raised_at_s",
        "attempt",
        "changed_at_s",
        "first_seen_at_s",
        "job_class",
        "job_id",
        "lost_s",
        "reversals",
        "share",
        "was_limited",
    )

    def __init__(
        self, job_id: str, attempt: int, job_class: str, now_s: float
    ) -> None:
        self.job_id = job_id
        self.attempt = attempt
        self.job_class = job_class
        self.first_seen_at_s = now_s
        self.share = 1.0
        self.lost_s = 0.0
        self.reversals = 0
        self.was_limited = False
        self.changed_at_s = now_s
        self._raised_at_s = -math.inf
        self._backoff_s = MIN_RAISE_BACKOFF_S

    def lower(self, share: float, now_s: float) -> None:
        """Lower the share."""
        if now_s < self._raised_at_s + REVERSAL_WINDOW_S:
            self._backoff_s = min(self._backoff_s * 2.0, MAX_RAISE_BACKOFF_S)
        if self._raised_at_s == self.changed_at_s:
            self.reversals += 1
        self.share = share
        self.was_limited = True
        self.changed_at_s = now_s

    def may_raise(self, now_s: float) -> bool:
        """Return whether the backoff since the last change has passed."""
        return now_s >= self.changed_at_s + self._backoff_s

    def next_raise(self, share: float) -> float:
        """Return ``share`` limited to one raise step from the current one."""
        return min(share, round(self.share + MAX_RAISE_STEP, 3))

    def raise_to(self, share: float, now_s: float) -> None:
        """Raise the share."""
        if self._raised_at_s != self.changed_at_s:
            self.reversals += 1
        if now_s > self.changed_at_s + BACKOFF_RESET_S:
            self._backoff_s = MIN_RAISE_BACKOFF_S
        self.share = share
        self.changed_at_s = now_s
        self._raised_at_s = now_s

    def accrue_lost_time(self, step_s: float) -> None:
        """Add the run time lost to throttling during a step."""
        self.lost_s += (1.0 - self.share) * step_s
