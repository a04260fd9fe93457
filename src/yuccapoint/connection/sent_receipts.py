"""Receipts sent to a peer, judged by the peer's later probes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.connection.delivery_monitor import MIN_PATIENCE_S

if TYPE_CHECKING:
    from yuccapoint.connection.delivery_messages import DeliveryProbe
    from yuccapoint.connection.delivery_monitor import DeliveryMonitor

# Receipts that are kept to match the peer's probes with.
MAX_RECEIPTS = 16


class SentReceipts:
    """Tells whether the receipts sent to a peer arrive there.

    A receipt carries no probe of its own: two idle peers would go on
    confirming each other's receipts. Instead, the peer's next probe names the
    newest receipt that it got.

    Parameters
    ----------
    monitor : DeliveryMonitor
        Monitor of the connection on which the receipts are sent.
    """

    __slots__ = ("_monitor", "_sent_at_s")

    def __init__(self, monitor: DeliveryMonitor) -> None:
        self._monitor = monitor
        # When the receipt of each probe was sent, by the probe's number.
        self._sent_at_s: dict[int, float] = {}

    def on_probe(self, probe: DeliveryProbe, now_s: float) -> None:
        """Judge the earlier receipts, and note that of a probe."""
        for number, sent_at_s in list(self._sent_at_s.items()):
            if number >= probe.number:
                # The peer has restarted, and counts from another number.
                del self._sent_at_s[number]
                continue
            if number <= probe.confirmed:
                del self._sent_at_s[number]
                self._monitor.on_delivered(sent_at_s, now_s)
                continue
            if now_s - sent_at_s >= MIN_PATIENCE_S:
                del self._sent_at_s[number]
                self._monitor.on_unanswered(sent_at_s)
        self._sent_at_s[probe.number] = now_s
        while len(self._sent_at_s) > MAX_RECEIPTS:
            del self._sent_at_s[next(iter(self._sent_at_s))]
