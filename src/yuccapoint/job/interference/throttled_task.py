"""A batch task's throttle and what it has cost."""

from __future__ import annotations

import math

MIN_RAISE_BACKOFF_S = 6.0
MAX_RAISE_BACKOFF_S = 60.0
REVERSAL_WINDOW_S = 15.0
MAX_RAISE_STEP = 0.3
BACKOFF_RESET_S = 120.0


class ThrottledTask:
    """One attempt on the VM, as the guard sees it.

    A limit that comes soon after a raise doubles the wait before the next
    raise, so that a noisy wave does not make the share swing with it.

    Attributes
    ----------
    first_seen_at_s : float
        When the guard first saw the attempt.
    share : float
        Share of its processors that the task may use.
    changed_at_s : float
        When the share changed last.
    was_limited : bool
        Whether the worker may hold a limit for the task.
    lost_s : float
        Run time at full share that the throttle has cost.
    reversals : int
        Changes of the throttle's direction.
    """

    __slots__ = (
        "_backoff_s",
        "_raised_at_s",
        "attempt",
        "first_seen_at_s",
        "changed_at_s",
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
        """Limit the task."""
        if now_s < self._raised_at_s + REVERSAL_WINDOW_S:
            self._backoff_s = min(self._backoff_s * 2.0, MAX_RAISE_BACKOFF_S)
        if self._raised_at_s == self.changed_at_s:
            self.reversals += 1
        self.share = share
        self.was_limited = True
        self.changed_at_s = now_s

    def may_raise(self, now_s: float) -> bool:
        """Tell whether the last change is long enough ago."""
        return now_s >= self.changed_at_s + self._backoff_s

    def next_raise(self, share: float) -> float:
        """Give the next share towards a goal, by a step at most."""
        return min(share, round(self.share + MAX_RAISE_STEP, 3))

    def raise_to(self, share: float, now_s: float) -> None:
        """Give the task more."""
        if self._raised_at_s != self.changed_at_s:
            self.reversals += 1
        if now_s > self.changed_at_s + BACKOFF_RESET_S:
            self._backoff_s = MIN_RAISE_BACKOFF_S
        self.share = share
        self.changed_at_s = now_s
        self._raised_at_s = now_s

    def accrue_lost_time(self, step_s: float) -> None:
        """Count what the throttle costs over a step."""
        self.lost_s += (1.0 - self.share) * step_s
