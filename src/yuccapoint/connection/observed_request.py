"""Notes when the header of a request has arrived."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.httputil import HTTPMessageDelegate

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from tornado.httputil import HTTPHeaders
    from tornado.httputil import RequestStartLine
    from tornado.httputil import ResponseStartLine

    from yuccapoint.connection.open_connection import OpenConnection


class ObservedRequest(HTTPMessageDelegate):
    """Forwards a request to its delegate.

    Parameters
    ----------
    connection : OpenConnection
        Connection on which the request arrives.
    delegate : HTTPMessageDelegate
        Receives the request.
    """

    __slots__ = ("_connection", "_delegate")

    def __init__(
        self, connection: OpenConnection, delegate: HTTPMessageDelegate
    ) -> None:
        self._connection = connection
        self._delegate = delegate

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Note that a request is on the connection."""
        self._connection.on_request()
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Forward a chunk of the body."""
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        """Forward the end of the request."""
        self._delegate.finish()

    def on_connection_close(self) -> None:
        """Forward that the client closed the connection."""
        self._delegate.on_connection_close()
