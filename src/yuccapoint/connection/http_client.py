"""An HTTP client that keeps its connections and says what it knows.

The stock client opens a connection for each call and can't tell a request
that was never sent from one whose response was lost.
"""

from __future__ import annotations

import asyncio
import collections
import time
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders
from tornado.httputil import parse_response_start_line
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from yuccapoint.exceptions import UnreachableError
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    from tornado.iostream import IOStream

# Kept connections that carry no call.
MAX_IDLE_CONNECTIONS = 8
# A connection unused for longer, in seconds, may be closed by its peer.
MAX_IDLE_S = 20.0
# Head of a response and body of a response, in bytes.
MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 16 * 1_024 * 1_024
STATUS_NO_CONTENT = 204


class NotSentError(UnreachableError):
    """The request did not reach the peer."""

    verdict = Verdict.NOT_RUN


class ResponseLostError(UnreachableError):
    """The request was sent and no whole response came."""

    verdict = Verdict.MAY_HAVE_RUN


class HttpResponse:
    """A whole response."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class HttpClient:
    """Calls one address over reusable connections.

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
        """Send a request and wait for its response.

        Parameters
        ----------
        method, target : str
            Method and path with query.
        body : bytes
            Body of the request.
        timeout_s : float
            Longest wait in seconds.
        headers : dict, optional
            Further headers.

        Raises
        ------
        NotSentError
            The peer did not get the request.
        ResponseLostError
            The peer may have acted on the request.
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
        except (StreamClosedError, OSError, TimeoutError, ValueError) as error:
            raise ResponseLostError(
                f"no response from {self.address}: {error!r}"
            ) from None
        finally:
            # An abandoned response would be taken for the next request's.
            if not reusable:
                stream.close()
        if len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append((stream, time.monotonic()))
        else:
            stream.close()
        return response

    def close(self) -> None:
        """Drop the reusable connections."""
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
                raise ValueError(f"a response of {size} bytes")
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
        total += size
        if total > MAX_BODY_BYTES:
            raise ValueError(f"a response over {MAX_BODY_BYTES} bytes")
        chunk = await stream.read_bytes(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(chunk[:-2])
