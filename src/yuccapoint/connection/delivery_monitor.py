"""Judges a one-way connection by what its peer confirms."""

from __future__ import annotations

# Minimum interval between two probes on a connection, in seconds.
PROBE_INTERVAL_S = 0.5
# Bounds of the time in seconds after which an unconfirmed probe marks the
# connection as silent. It doubles with each reopening, as the way may only be
# slow; the upper bound keeps a connection to a peer that is back in use soon.
MIN_SILENCE_S = 1.0
MAX_SILENCE_S = 8.0
# Ratio of that time to the time that the last confirmation took.
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
        "_connection_from",
        "_last_number",
        "_probed_at_s",
        "_sent_at_s",
        "_silence_s",
    )

    def __init__(self, first_number: int) -> None:
        self._last_number = first_number
        # Probes above this number were sent on the present connection.
        self._connection_from = first_number
        self._silence_s = MIN_SILENCE_S
        self._probed_at_s: float | None = None
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
            self._probed_at_s is not None
            and now_s - self._probed_at_s < PROBE_INTERVAL_S
        ):
            return None
        self._probed_at_s = now_s
        self._last_number += 1
        self._sent_at_s[self._last_number] = now_s
        return self._last_number

    def on_confirmed(self, number: int, now_s: float) -> None:
        """Apply a receipt, unless its probe took a former connection."""
        sent_at_s = self._sent_at_s.get(number)
        if sent_at_s is None or number <= self._connection_from:
            return
        # A connection keeps the order of what it delivers.
        for probe in [p for p in self._sent_at_s if p <= number]:
            del self._sent_at_s[probe]
        taken_s = SILENCE_RATIO * (now_s - sent_at_s)
        self._silence_s = min(max(taken_s, MIN_SILENCE_S), MAX_SILENCE_S)

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

    def on_reopened(self) -> None:
        """Start over on a new connection, with more patience."""
        self._sent_at_s.clear()
        self._connection_from = self._last_number
        self._probed_at_s = None
        self._silence_s = min(2 * self._silence_s, MAX_SILENCE_S)
