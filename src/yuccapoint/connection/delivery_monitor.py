"""Judges a one-way connection by what its peer confirms."""

from __future__ import annotations

# A probe is due when nothing sent within this time in seconds is known to have
# arrived; longer than the interval of regular messages.
PROBE_INTERVAL_S = 1.0
# Bounds of the time in seconds after which an unconfirmed probe marks the
# connection as silent. It doubles with each reopening, as the way may only be
# slow; the upper bound keeps a connection to a peer that is back in use soon.
MIN_SILENCE_S = 0.7
MAX_SILENCE_S = 8.0
# Ratio of that time to the time that a confirmation took.
SILENCE_RATIO = 2.0


class DeliveryMonitor:
    """Tracks which probes sent on a connection have been confirmed.

    A connection may stop delivering without being closed. What is received
    on another connection does not tell whether this one still delivers.

    Parameters
    ----------
    first_number : int
        Number before that of the first probe. It should be random, as a peer
        may still confirm probes of a former process at the same address.
    """

    __slots__ = (
        "_last_number",
        "_opened_at_s",
        "_probe_from_s",
        "_sent_at_s",
        "_silence_s",
    )

    def __init__(self, first_number: int) -> None:
        self._last_number = first_number
        self._opened_at_s = 0.0
        self._silence_s = MIN_SILENCE_S
        # When the last probe, or the newest message that is known to have
        # arrived, was sent.
        self._probe_from_s: float | None = None
        # When each unconfirmed probe was sent, by its number.
        self._sent_at_s: dict[int, float] = {}

    def next_probe(self, now_s: float) -> int | None:
        """Return the number of a probe to send now; None if none is due.

        Parameters
        ----------
        now_s : float
            Steady time in seconds.
        """
        if (
            self._probe_from_s is not None
            and now_s - self._probe_from_s < PROBE_INTERVAL_S
        ):
            return None
        self._probe_from_s = now_s
        self._last_number += 1
        self._sent_at_s[self._last_number] = now_s
        return self._last_number

    def on_receipt(self, number: int, now_s: float) -> None:
        """Apply a receipt, unless its probe took a former connection."""
        sent_at_s = self._sent_at_s.get(number)
        if sent_at_s is None:
            return
        self._note_delivery(sent_at_s)
        taken_s = SILENCE_RATIO * (now_s - sent_at_s)
        self._silence_s = min(max(taken_s, MIN_SILENCE_S), MAX_SILENCE_S)

    def on_delivered(self, sent_at_s: float, now_s: float) -> None:
        """Note that a message sent at a time has arrived.

        Such evidence may come late, so that it says less than a receipt of
        how slow the way is.
        """
        if sent_at_s < self._opened_at_s:
            return
        self._note_delivery(sent_at_s)
        taken_s = SILENCE_RATIO * (now_s - sent_at_s)
        self._silence_s = min(self._silence_s, max(taken_s, MIN_SILENCE_S))

    def _note_delivery(self, sent_at_s: float) -> None:
        # A connection keeps the order of what it delivers.
        for number, probed_at_s in list(self._sent_at_s.items()):
            if probed_at_s <= sent_at_s:
                del self._sent_at_s[number]
        self._probe_from_s = max(self._probe_from_s or 0.0, sent_at_s)

    def silent_s(self, now_s: float) -> float:
        """Return for how long the connection has been silent; 0 if it isn't.

        Returns
        -------
        float
            Seconds since the first unconfirmed probe was sent, once a
            receipt is overdue.
        """
        if not self._sent_at_s:
            return 0.0
        waited_s = now_s - min(self._sent_at_s.values())
        return waited_s if waited_s >= self._silence_s else 0.0

    def on_reopened(self, now_s: float) -> None:
        """Start over on a new connection, with more patience."""
        self._sent_at_s.clear()
        self._opened_at_s = now_s
        self._probe_from_s = None
        self._silence_s = min(2 * self._silence_s, MAX_SILENCE_S)
