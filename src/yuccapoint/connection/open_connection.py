"""An open connection of an HTTP server."""

from __future__ import annotations

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
    awaits_request : bool
        Whether the header of the next request has not been read yet.
    """

    __slots__ = ("awaits_request", "stream")

    def __init__(self, stream: IOStream) -> None:
        self.stream = stream
        self.awaits_request = True

    @property
    def is_idle(self) -> bool:
        """Whether closing the connection now aborts no request."""
        stream = self.stream
        # A stream that isn't reading has passed on a header just now.
        if not self.awaits_request or not stream.reading():
            return False
        # A part of a header has arrived.
        if stream._read_buffer_size:
            return False
        return not self._has_unread_bytes()

    def _has_unread_bytes(self) -> bool:
        poll = select.poll()
        poll.register(self.stream.fileno(), select.POLLIN)
        return bool(poll.poll(0))
