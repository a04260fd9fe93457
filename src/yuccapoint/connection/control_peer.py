"""A connection on which control messages are sent to one peer."""

from __future__ import annotations

import random

import pynng

from yuccapoint.connection.delivery_monitor import DeliveryMonitor
from yuccapoint.connection.sent_receipts import SentReceipts

SEND_BUFFER_MESSAGES = 64
RECONNECT_TIME_MIN_MS = 100
RECONNECT_TIME_MAX_MS = 2_000
PROBE_NUMBER_BITS = 48


class ControlPeer:
    """Sends to one address, over a connection that can be replaced.

    Parameters
    ----------
    address : str
        IP number and port of the peer.

    Attributes
    ----------
    in_use : bool
        Whether anything was sent since the connection was opened.

    Raises
    ------
    pynng.NNGException
        The address is invalid.
    """

    __slots__ = ("_socket", "address", "in_use", "monitor", "receipts")

    def __init__(self, address: str) -> None:
        self.address = address
        self.in_use = False
        self.monitor = DeliveryMonitor(random.getrandbits(PROBE_NUMBER_BITS))
        self.receipts = SentReceipts(self.monitor)
        self._socket = _connect(address)

    def send(self, data: bytes) -> None:
        """Queue a message; raise ``pynng.NNGException`` if that is full."""
        self._socket.send(data, block=False)

    def reopen(self, now_s: float) -> None:
        """Replace the connection; messages that still wait are lost."""
        self._socket.close()
        self._socket = _connect(self.address)
        self.in_use = False
        self.monitor.on_reopened(now_s)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


def _connect(address: str) -> pynng.Push0:
    socket = pynng.Push0(
        send_buffer_size=SEND_BUFFER_MESSAGES,
        reconnect_time_min=RECONNECT_TIME_MIN_MS,
        reconnect_time_max=RECONNECT_TIME_MAX_MS,
    )
    try:
        socket.dial(f"tcp://{address}", block=False)
    except pynng.NNGException:
        socket.close()
        raise
    return socket
