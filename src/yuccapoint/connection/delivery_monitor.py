"""Judges a one-way connection by what its peer confirms."""

from __future__ import annotations

# A probe is due when nothing sent within this time in seconds is known to have
# arrived; longer than the interval of regular messages.
PROBE_INTERVAL_S = 1.0
# Bounds of the time in seconds after which an unconfirmed probe marks a
# connection as silent. Several attempts fit into the lease of a VM.
MIN_PATIENCE_S = 0.7
MAX_PATIENCE_S = 8.0
MAX_DOUBLINGS = 4
# Reopenings before the patience doubles with each further one, for a peer that
# has confirmed anything, and for one that may be of a version that can't.
QUICK_REOPENINGS = 6
QUICK_REOPENINGS_UNKNOWN = 1
# Ratio of the patience to the time that a confirmation took. A new connection
# takes as long before it delivers the first probe.
PATIENCE_RATIO = 3.0
# Probes of former connections whose receipts tell how slow the way is.
MAX_FORMER_PROBES = 16


class DeliveryMonitor:
    """Tracks what is known to have arrived over a connection.

    A connection may stop delivering without being closed. What is received
    on another connection does not tell whether this one still delivers.

    Parameters
    ----------
    first_number : int
        Number before that of the first probe. It should be random, as a peer
        may still confirm probes of a former process at the same address.

    Attributes
    ----------
    confirmed : int
        Number of the newest confirmed probe; 0 for none.
    reopenings : int
        Reopenings since anything was last known to have arrived.
    """

    __slots__ = (
        "_delivered_until_s",
        "_former_probes_at_s",
        "_last_number",
        "_lost_at_s",
        "_opened_at_s",
        "_probed_at_s",
        "_probes_at_s",
        "_slow_way_s",
        "confirmed",
        "reopenings",
    )

    def __init__(self, first_number: int) -> None:
        self.confirmed = 0
        self.reopenings = 0
        self._last_number = first_number
        self._opened_at_s = 0.0
        self._delivered_until_s: float | None = None
        self._probed_at_s: float | None = None
        self._lost_at_s: float | None = None
        self._slow_way_s = MIN_PATIENCE_S
        # When each unconfirmed probe was sent, by its number.
        self._probes_at_s: dict[int, float] = {}
        self._former_probes_at_s: dict[int, float] = {}

    def next_probe(self, now_s: float) -> int | None:
        """Return the number of a probe to send now; None if none is due.

        Parameters
        ----------
        now_s : float
            Steady time in seconds.
        """
        for last_s in (self._probed_at_s, self._delivered_until_s):
            if last_s is not None and now_s - last_s < PROBE_INTERVAL_S:
                return None
        self._probed_at_s = now_s
        self._last_number += 1
        self._probes_at_s[self._last_number] = now_s
        return self._last_number

    def on_receipt(self, number: int, now_s: float) -> None:
        """Apply a receipt.

        That of a probe which took a former connection tells nothing of the
        present one, but how slow the way is.
        """
        sent_at_s = self._probes_at_s.get(number)
        if sent_at_s is None:
            sent_at_s = self._former_probes_at_s.pop(number, None)
        else:
            self.confirmed = number
            self._note_delivery(sent_at_s)
        if sent_at_s is not None:
            self._slow_way_s = _patience_of(now_s - sent_at_s)

    def on_delivered(self, sent_at_s: float, now_s: float) -> None:
        """Note that a message sent at a time has arrived.

        Such evidence may come late, so that it can only show that the way is
        faster than assumed.
        """
        if sent_at_s < self._opened_at_s:
            return
        self._note_delivery(sent_at_s)
        taken_s = _patience_of(now_s - sent_at_s)
        self._slow_way_s = min(self._slow_way_s, taken_s)

    def on_unanswered(self, sent_at_s: float) -> None:
        """Note that an expected answer to a message did not come."""
        if sent_at_s < self._opened_at_s:
            return
        delivered_until_s = self._delivered_until_s
        if delivered_until_s is None or delivered_until_s <= sent_at_s:
            self._lost_at_s = sent_at_s

    def _note_delivery(self, sent_at_s: float) -> None:
        # A connection keeps the order of what it delivers.
        for number, probed_at_s in list(self._probes_at_s.items()):
            if probed_at_s <= sent_at_s:
                del self._probes_at_s[number]
        if self._lost_at_s is not None and self._lost_at_s <= sent_at_s:
            self._lost_at_s = None
        self._delivered_until_s = max(self._delivered_until_s or 0, sent_at_s)
        self.reopenings = 0

    def silent_s(self, now_s: float) -> float:
        """Return for how long the connection has been silent; 0 if it isn't.

        Returns
        -------
        float
            Seconds since the first message was sent that must be lost.
        """
        if self._lost_at_s is not None:
            return now_s - self._lost_at_s
        if not self._probes_at_s:
            return 0.0
        waited_s = now_s - min(self._probes_at_s.values())
        return waited_s if waited_s >= self._patience_s else 0.0

    @property
    def _patience_s(self) -> float:
        quick = QUICK_REOPENINGS
        if self._delivered_until_s is None:
            quick = QUICK_REOPENINGS_UNKNOWN
        doublings = min(max(0, self.reopenings - quick), MAX_DOUBLINGS)
        patience_s = MIN_PATIENCE_S * (1 << doublings)
        return min(max(self._slow_way_s, patience_s), MAX_PATIENCE_S)

    def on_reopened(self, now_s: float) -> None:
        """Start over on a new connection, with more patience."""
        self._former_probes_at_s.update(self._probes_at_s)
        while len(self._former_probes_at_s) > MAX_FORMER_PROBES:
            del self._former_probes_at_s[next(iter(self._former_probes_at_s))]
        self._probes_at_s.clear()
        self._opened_at_s = now_s
        self._probed_at_s = None
        self._lost_at_s = None
        self.reopenings += 1


def _patience_of(taken_s: float) -> float:
    patience_s = PATIENCE_RATIO * taken_s
    return min(max(patience_s, MIN_PATIENCE_S), MAX_PATIENCE_S)
