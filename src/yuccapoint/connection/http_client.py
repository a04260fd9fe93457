"""HTTP client with keep-alive connections and precise failure reports.

Tornado's own client opens a connection for each call and doesn't distinguish
a request that was never sent from one whose response was lost.
"""

from __future__ import annotations

import asyncio
import collections
import time
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPInputError
from tornado.httputil import parse_response_start_line
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from yuccapoint.exceptions import UnreachableError
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    from tornado.iostream import IOStream

MAX_IDLE_CONNECTIONS = 8
# The peer may close a connection that is idle for longer.
MAX_IDLE_S = 20.0
# Bounds on a response's head and body.
MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 16 * 1_024 * 1_024
STATUS_NO_CONTENT = 204


class NotSentError(UnreachableError):
    """The request was not sent."""

    verdict = Verdict.NOT_RUN


class ResponseLostError(UnreachableError):
    """The request was sent, but no complete response came."""

    verdict = Verdict.MAY_HAVE_RUN


class HttpResponse:
    """A complete response."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class HttpClient:
    """Calls one address over keep-alive connections.

    Parameters
    ----------
    address : str
        IP number and port.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.connections_opened = 0
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._connector = TCPClient()
        self._idle: collections.deque[tuple[IOStream, float]] = (
            collections.deque()
        )

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> HttpResponse:
        """Send a request and return its response.

        Parameters
        ----------
        method, target : str
            Method and path with query.
        body : bytes
            Body of the request.
        timeout_s : float
            Timeout of the whole call in seconds.
        headers : dict, optional
            Additional headers.

        Raises
        ------
        NotSentError
            The request was not sent.
        ResponseLostError
            The peer may have executed the request.
        """
        deadline_s = time.monotonic() + timeout_s
        stream = await self._connect(deadline_s)
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Content-Length: {len(body)}",
        ]
        for name, value in {"Host": self.address, **(headers or {})}.items():
            lines.append(f"{name}: {value}")
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        reusable = False
        try:
            left_s = max(0.001, deadline_s - time.monotonic())
            async with asyncio.timeout(left_s):
                response, reusable = await self._exchange(stream, head + body)
        except (
            HTTPInputError,
            OSError,
            StreamClosedError,
            TimeoutError,
            ValueError,
        ) as error:
            raise ResponseLostError(
                f"no response from {self.address}: {error!r}"
            ) from None
        finally:
            # The next request on this connection would read the rest of an
            # abandoned response as its own.
            if not reusable:
                stream.close()
        if len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append((stream, time.monotonic()))
        else:
            stream.close()
        return response

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop()[0].close()

    async def _connect(self, deadline_s: float) -> IOStream:
        now_s = time.monotonic()
        while self._idle:
            stream, used_at_s = self._idle.pop()
            if not stream.closed() and now_s - used_at_s < MAX_IDLE_S:
                return stream
            stream.close()
        left_s = max(0.001, deadline_s - now_s)
        try:
            async with asyncio.timeout(left_s):
                stream = await self._connector.connect(self._host, self._port)
        except (OSError, TimeoutError, StreamClosedError) as error:
            raise NotSentError(
                f"can't connect to {self.address}: {error!r}"
            ) from None
        stream.set_nodelay(True)
        self.connections_opened += 1
        return stream

    async def _exchange(
        self, stream: IOStream, request: bytes
    ) -> tuple[HttpResponse, bool]:
        await stream.write(request)
        head = await stream.read_until(b"\r\n\r\n", MAX_HEAD_BYTES)
        status_line, _, header_lines = head.decode("latin-1").partition("\r\n")
        start = parse_response_start_line(status_line)
        headers = HTTPHeaders.parse(header_lines)
        body = b""
        closes_after = headers.get("Connection", "").lower() == "close"
        if headers.get("Transfer-Encoding", "").lower() == "chunked":
            body = await _read_chunks(stream)
        elif "Content-Length" in headers:
            size = int(headers["Content-Length"])
            if not 0 <= size <= MAX_BODY_BYTES:
                raise ValueError(f"unacceptable Content-Length {size}")
            body = await stream.read_bytes(size) if size else b""
        elif start.code != STATUS_NO_CONTENT:
            body = await stream.read_until_close()
            closes_after = True
        return HttpResponse(start.code, headers, body), not closes_after


async def _read_chunks(stream: IOStream) -> bytes:
    parts: list[bytes] = []
    total = 0
    while True:
        line = await stream.read_until(b"\r\n", MAX_HEAD_BYTES)
        size = int(line.split(b";")[0], 16)
        if size < 0:
            raise ValueError(f"negative chunk size {size}")
        total += size
        if total > MAX_BODY_BYTES:
            raise ValueError(f"response body exceeds {MAX_BODY_BYTES} bytes")
        chunk = await stream.read_bytes(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(chunk[:-2])
