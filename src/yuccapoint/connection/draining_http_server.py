"""HTTP server that closes connections without aborting requests."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer
from tornado.log import app_log

from yuccapoint.connection.observed_request import ObservedRequest
from yuccapoint.connection.open_connection import OpenConnection

if TYPE_CHECKING:
    from collections.abc import Iterable
    import socket

    from tornado.http1connection import HTTP1ServerConnection
    from tornado.httputil import HTTPConnection
    from tornado.httputil import HTTPMessageDelegate
    from tornado.iostream import IOStream

# Bounds the time that a flood of new connections takes at a stop.
MAX_ACCEPTED_AT_STOP = 1_024
# A client sends its first request within this time in seconds after its
# connection is accepted, by TLS after a handshake.
FIRST_REQUEST_S = 0.5


class DrainingHttpServer(HTTPServer):
    """Keeps track of its connections, so that idle ones can be closed.

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
        self._listening: list[socket.socket] = []
        self._open: dict[IOStream, OpenConnection] = {}

    @property
    def open_connections(self) -> int:
        """Number of connections that are open."""
        return sum(not stream.closed() for stream in self._open)

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections on listening sockets."""
        listening = list(sockets)
        self._listening.extend(listening)
        super().add_sockets(listening)

    def stop(self) -> None:
        """Stop listening; connections that wait to be accepted are served."""
        self._accept_waiting()
        super().stop()

    def close_idle_connections(self) -> int:
        """Close the connections on which there is no request.

        Returns
        -------
        int
            The number of connections that are still open: a request is being
            read or served on them, waits to be read, or is about to come as
            the first one.
        """
        now_s = time.monotonic()
        open_connections = 0
        for connection in list(self._open.values()):
            if connection.stream.closed():
                continue
            if connection.is_idle(now_s):
                connection.stream.close()
                continue
            open_connections += 1
        return open_connections

    def close_at_once(self) -> None:
        """Close all connections, also those with a request on them."""
        for stream in list(self._open):
            stream.close()

    def handle_stream(
        self, stream: IOStream, address: tuple[Any, ...]
    ) -> None:
        """Serve a new connection."""
        self._open[stream] = OpenConnection(
            stream, time.monotonic() + FIRST_REQUEST_S
        )
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

    def _accept_waiting(self) -> None:
        for listening in self._listening:
            for _ in range(MAX_ACCEPTED_AT_STOP):
                try:
                    accepted, address = listening.accept()
                except BlockingIOError:
                    break
                except ConnectionAbortedError:
                    continue
                except OSError as error:
                    app_log.warning("can't accept at a stop: %s", error)
                    break
                try:
                    self._handle_connection(accepted, address)
                except OSError as error:
                    # By TLS, a reset shows while the connection is wrapped.
                    app_log.info("connection lost at a stop: %s", error)
                    accepted.close()
        self._listening.clear()


def _stream(server_conn: object) -> IOStream:
    connection: HTTP1ServerConnection = server_conn  # type: ignore[assignment]
    return connection.stream
