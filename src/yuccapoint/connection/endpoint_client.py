"""HTTP client for endpoints, with keep-alive connections."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPInputError
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from yuccapoint.request.exceptions import DeadlinePassedError
from yuccapoint.request.exceptions import EndpointFailedError
from yuccapoint.request.header import end_to_end_headers
from yuccapoint.request.header import Header
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tornado.httputil import ResponseStartLine
    from tornado.iostream import IOStream

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_S = 1.5
MAX_IDLE_CONNECTIONS = 64
MAX_RESPONSE_BYTES = 1 << 40
CHUNK_BYTES = 65_536
BODY_METHODS = ("POST", "PUT", "PATCH")
MIN_FINAL_STATUS = 200
NO_BODY_STATUSES = (204, 304)


class EndpointResponse:
    """Status and headers of an endpoint's response."""

    __slots__ = ("headers", "reason", "status")

    def __init__(
        self, status: int, reason: str, headers: list[Header]
    ) -> None:
        self.status = status
        self.reason = reason
        self.headers = headers


class IdleConnection:
    """An open connection without a request."""

    __slots__ = ("idle_since_s", "stream")

    def __init__(self, stream: IOStream, idle_since_s: float) -> None:
        self.stream = stream
        self.idle_since_s = idle_since_s


class ResponseReader(HTTPMessageDelegate):
    """Parses one response from a connection.

    Parameters
    ----------
    method : str
        The request's method.
    on_head, on_chunk : callable
        Called with the response's head and with each part of its body;
        reading pauses until the future of ``on_chunk`` is done.
    """

    def __init__(
        self,
        method: str,
        on_head: Callable[[EndpointResponse], None],
        on_chunk: Callable[[bytes], Awaitable[None] | None],
    ) -> None:
        self.started = False
        self.complete = False
        self.reusable = False
        self.failure = ""
        self._method = method
        self._on_head = on_head
        self._on_chunk = on_chunk

    def headers_received(
        self, start_line: object, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Parse the head."""
        self.started = True
        line: ResponseStartLine = start_line  # type: ignore[assignment]
        if line.code < MIN_FINAL_STATUS:
            return None
        has_no_body = self._method == "HEAD" or line.code in NO_BODY_STATUSES
        chunked = "Transfer-Encoding" in headers
        if not has_no_body and not chunked and "Content-Length" not in headers:
            self.failure = (
                "response has neither Content-Length nor chunked encoding"
            )
            return None
        closes_after = headers.get("Connection", "").lower() == "close"
        self.reusable = line.version == "HTTP/1.1" and not closes_after
        listed = [Header(name, value) for name, value in headers.get_all()]
        self._on_head(
            EndpointResponse(
                line.code, line.reason, end_to_end_headers(listed)
            )
        )
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass a part of the body on."""
        if self.failure:
            return None
        return self._on_chunk(chunk)

    def finish(self) -> None:
        """Mark the response as complete."""
        self.complete = not self.failure


class EndpointClient:
    """Calls the endpoints on the agent's VM.

    Parameters
    ----------
    log : callable, optional
        Logs an event: its part, text and fields.
    """

    def __init__(self, log: Callable[..., None] | None = None) -> None:
        self._log = log
        self._idle: dict[str, list[IdleConnection]] = {}
        self._parameters = HTTP1ConnectionParameters(
            chunk_size=CHUNK_BYTES,
            max_body_size=MAX_RESPONSE_BYTES,
            decompress=False,
        )
        self._connector = TCPClient()

    async def call(
        self,
        address: str,
        method: str,
        target: str,
        headers: list[Header],
        body: bytes,
        deadline_s: float,
        on_head: Callable[[EndpointResponse], None],
        on_chunk: Callable[[bytes], Awaitable[None] | None],
    ) -> None:
        """Call an endpoint and stream its response to the callables.

        Raises
        ------
        EndpointFailedError
            The response is incomplete; the verdict says whether the request
            may have run.
        DeadlinePassedError
            The deadline passed before the response was complete.
        """
        stream = self._reuse_idle(address)
        if stream is None:
            stream = await self._connect(address, deadline_s)
        reader = ResponseReader(method, on_head, on_chunk)
        sent_at_s = time.monotonic()
        try:
            async with asyncio.timeout(deadline_s - time.monotonic()):
                await self._exchange(
                    stream, address, method, target, headers, body, reader
                )
        except TimeoutError:
            if not reader.started:
                self._close_suspects(address, sent_at_s)
            raise DeadlinePassedError(
                "deadline passed while waiting for the endpoint",
                Verdict.MAY_HAVE_RUN,
            ) from None
        except (StreamClosedError, HTTPInputError, OSError) as error:
            raise EndpointFailedError(
                f"endpoint connection failed: {error}"
            ) from None
        finally:
            self._release(address, stream, reader)
        if not reader.complete:
            failure = reader.failure or "response ended early"
            raise EndpointFailedError(f"endpoint failed: {failure}")

    def close(self) -> None:
        """Close the idle connections."""
        for idle_connections in self._idle.values():
            for connection in idle_connections:
                connection.stream.close()
        self._idle.clear()

    async def _exchange(
        self,
        stream: IOStream,
        address: str,
        method: str,
        target: str,
        headers: list[Header],
        body: bytes,
        reader: ResponseReader,
    ) -> None:
        connection = HTTP1Connection(stream, True, self._parameters)
        sent = HTTPHeaders()
        for header in headers:
            sent.add(header.name, header.value)
        if "Host" not in sent:
            sent["Host"] = address
        sent.pop("Expect", None)
        if body or method in BODY_METHODS:
            sent["Content-Length"] = str(len(body))
        line = RequestStartLine(method, target, "HTTP/1.1")
        connection.write_headers(line, sent, body or None)
        connection.finish()
        await connection.read_response(reader)

    async def _connect(self, address: str, deadline_s: float) -> IOStream:
        host, _, port = address.rpartition(":")
        left_s = min(CONNECT_TIMEOUT_S, deadline_s - time.monotonic())
        try:
            async with asyncio.timeout(left_s):
                stream = await self._connector.connect(host, int(port))
        except (OSError, StreamClosedError) as error:
            raise EndpointFailedError(
                f"can't connect to the endpoint: {error}", Verdict.NOT_RUN
            ) from None
        stream.set_nodelay(True)
        return stream

    def _close_suspects(self, address: str, sent_at_s: float) -> None:
        """Close connections that may be as silent as one without response."""
        kept: list[IdleConnection] = []
        closed = 0
        for connection in self._idle.get(address, []):
            if connection.idle_since_s > sent_at_s:
                kept.append(connection)
                continue
            connection.stream.close()
            closed += 1
        if not closed:
            return
        self._idle[address] = kept
        if self._log is not None:
            self._log(
                "endpoint",
                "no response in time; closed the other idle connections",
                endpoint=address,
                closed=closed,
            )

    def _reuse_idle(self, address: str) -> IOStream | None:
        idle_connections = self._idle.get(address, [])
        now_s = time.monotonic()
        while idle_connections:
            connection = idle_connections.pop()
            fresh = now_s - connection.idle_since_s < MAX_IDLE_S
            if fresh and not connection.stream.closed():
                return connection.stream
            connection.stream.close()
        return None

    def _release(
        self, address: str, stream: IOStream, reader: ResponseReader
    ) -> None:
        idle_connections = self._idle.setdefault(address, [])
        usable = reader.complete and reader.reusable and not stream.closed()
        if not usable or len(idle_connections) >= MAX_IDLE_CONNECTIONS:
            stream.close()
            return
        stream.set_close_callback(None)
        idle_connections.append(IdleConnection(stream, time.monotonic()))
