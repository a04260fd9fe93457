"""Leases that a worker may have taken from calls to former instances."""

from __future__ import annotations

import math

from yuccapoint.cell import lease_bounds
from yuccapoint.cell.late_calls import MAX_CALL_DELAY_S

# The platform's workers shorten longer leases to this, unless the settings
# tell another time.
MAX_HOLD_S = 6.0
# An instance that is older executes no call that another agent meant for a
# former one: agents follow an instance within two seconds of its start.
MAX_FORMER_CALL_AGE_S = MAX_CALL_DELAY_S + 2.0


class FormerLeases:
    """Bounds the lease that an instance took from calls to former ones.

    A call without an answer may be executed by the next instance under the
    same id. Its deadline is a time on the former instance's clock, which is
    far ahead, so that the next one takes a lease of the maximum duration. It
    refuses such calls once it has seen a call of its own.

    Parameters
    ----------
    started_at_s : float
        Start time of this agent; calls of its predecessor, whose deadlines
        are not known, may be executed after it.
    max_hold_s : float
        Workers shorten longer leases to this.
    """

    __slots__ = (
        "_deadline_ms",
        "_executed_until_s",
        "_max_hold_s",
        "settled_until_s",
    )

    def __init__(self, started_at_s: float, max_hold_s: float) -> None:
        self._max_hold_s = max_hold_s
        # The latest time on the worker's clock at which such a lease ends,
        # and until when a call that carries it may be executed.
        self._deadline_ms = 1000 * (MAX_FORMER_CALL_AGE_S + max_hold_s)
        self._executed_until_s = started_at_s + MAX_CALL_DELAY_S
        # When such a lease of the present instance has expired; None until
        # the instance has answered a call of its own.
        self.settled_until_s: float | None = None

    def begin_instance(
        self,
        sent_deadline_ms: int,
        sent_until_s: float,
        now_s: float,
        *,
        same_id: bool,
    ) -> None:
        """Note that calls to the instance so far may reach the next one.

        Parameters
        ----------
        sent_deadline_ms : int
            The latest deadline that was sent to it; 0 if none was.
        sent_until_s : float
            The same as steady time in seconds, before which it was sent.
        now_s : float
            Steady time in seconds.
        same_id : bool
            Whether the next instance has the id of its predecessor; another
            one executes none of its calls.
        """
        if not same_id or now_s > self._executed_until_s:
            self._deadline_ms = 0.0
        may_be_late = now_s <= sent_until_s + MAX_CALL_DELAY_S
        if same_id and sent_deadline_ms and may_be_late:
            self._deadline_ms = max(self._deadline_ms, sent_deadline_ms)
            self._executed_until_s = now_s + MAX_CALL_DELAY_S
        self.settled_until_s = None if self._deadline_ms else 0.0

    def on_answered(self, clock_ms: int, now_s: float) -> None:
        """Note that the present instance answered a call of its own.

        Parameters
        ----------
        clock_ms : int
            Time on the worker's clock in the answer, in milliseconds.
        now_s : float
            Steady time in seconds.
        """
        if self.settled_until_s is None:
            held_s = min(self._max_hold_s, self._remaining_s(clock_ms))
            self.settled_until_s = now_s + _at_most_s(held_s)

    def until_s(
        self, clock_ms: int | None, clock_at_s: float, now_s: float
    ) -> float:
        """Return when such a lease of the present instance has expired.

        Parameters
        ----------
        clock_ms : int or None
            Time that the worker's clock had reached at ``clock_at_s``, if
            known.
        clock_at_s, now_s : float
            Steady times in seconds.
        """
        if self.settled_until_s is not None:
            return self.settled_until_s
        executed_s = min(now_s, self._executed_until_s)
        until_s = executed_s + _at_most_s(self._max_hold_s)
        if clock_ms is None:
            return until_s
        remaining_s = _at_most_s(self._remaining_s(clock_ms))
        return min(until_s, clock_at_s + remaining_s)

    def _remaining_s(self, clock_ms: int) -> float:
        return max(0.0, self._deadline_ms - clock_ms) / 1000


def remaining_ms(until_s: float, now_s: float) -> int:
    """Return the whole milliseconds until a time, at least 0."""
    return max(0, math.ceil((until_s - now_s) * 1000))


def _at_most_s(worker_s: float) -> float:
    """Return how long a time span on the worker's clock takes at most."""
    return worker_s / lease_bounds.MIN_WORKER_CLOCK_RATE
