"""HTTP server that keeps track of its connections."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer

from yuccapoint.connection.observed_request import ObservedRequest
from yuccapoint.connection.open_connection import OpenConnection

if TYPE_CHECKING:
    from tornado.http1connection import HTTP1ServerConnection
    from tornado.httputil import HTTPConnection
    from tornado.httputil import HTTPMessageDelegate
    from tornado.iostream import IOStream


class DrainingHttpServer(HTTPServer):
    """Keeps track of its connections.

    The kernel takes requests on open connections until these are closed or
    the process is gone, also when nobody reads them any more.

    Parameters
    ----------
    *args, **kwargs
        Those of ``tornado.httpserver.HTTPServer``.
    """

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Initialize the server, as ``tornado.util.Configurable`` asks."""
        super().initialize(*args, **kwargs)
        self._open: dict[IOStream, OpenConnection] = {}

    @property
    def open_connections(self) -> int:
        """Number of connections that are open."""
        return sum(not stream.closed() for stream in self._open)

    @property
    def busy_connections(self) -> int:
        """Number of open connections with a request, read or not."""
        return sum(
            not stream.closed() and not connection.is_idle
            for stream, connection in self._open.items()
        )

    def handle_stream(
        self, stream: IOStream, address: tuple[Any, ...]
    ) -> None:
        """Serve a new connection."""
        self._open[stream] = OpenConnection(stream)
        super().handle_stream(stream, address)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate of the next request of a connection."""
        delegate = super().start_request(server_conn, request_conn)
        connection = self._open[_stream(server_conn)]
        connection.awaits_request = True
        return ObservedRequest(connection, delegate)

    def on_close(self, server_conn: object) -> None:
        """Forget a closed connection."""
        super().on_close(server_conn)
        del self._open[_stream(server_conn)]


def _stream(server_conn: object) -> IOStream:
    connection: HTTP1ServerConnection = server_conn  # type: ignore[assignment]
    return connection.stream
