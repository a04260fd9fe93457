"""An open connection of an HTTP server."""

from __future__ import annotations

import math
import select
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tornado.iostream import IOStream


class OpenConnection:
    """Connection of an HTTP server, and whether a request is on it.

    Attributes
    ----------
    stream : IOStream
        The connection's stream.
    first_request_until_s : float
        Steady time in seconds until which the first request is expected;
        minus infinity after its header has arrived.
    awaits_request : bool
        Whether the header of the next request has not been read yet.
    """

    __slots__ = ("awaits_request", "first_request_until_s", "stream")

    def __init__(self, stream: IOStream, first_request_until_s: float) -> None:
        self.stream = stream
        self.first_request_until_s = first_request_until_s
        self.awaits_request = True

    def on_request(self) -> None:
        """Note that the header of a request has arrived."""
        self.awaits_request = False
        self.first_request_until_s = -math.inf

    def is_idle(self, now_s: float) -> bool:
        """Return whether closing the connection now aborts no request.

        Parameters
        ----------
        now_s : float
            Steady time in seconds.
        """
        if now_s < self.first_request_until_s:
            return False
        stream = self.stream
        # A stream that isn't reading has passed on a header just now.
        if not self.awaits_request or not stream.reading():
            return False
        # A part of a header has arrived; blank lines between requests are
        # no part of one.
        if stream._read_buffer.strip(b"\r\n"):
            return False
        return not self._has_unread_bytes()

    def _has_unread_bytes(self) -> bool:
        poll = select.poll()
        poll.register(self.stream.fileno(), select.POLLIN)
        return bool(poll.poll(0))
