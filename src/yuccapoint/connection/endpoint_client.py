"""Calls an endpoint over HTTP, on connections that are kept."""

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
KEEP_IDLE_S = 1.5
MAX_IDLE = 64
MAX_ANSWER_BYTES = 1 << 40
CHUNK_BYTES = 65_536
BODY_METHODS = ("POST", "PUT", "PATCH")
FIRST_FINAL_STATUS = 200
NO_BODY_STATUSES = (204, 304)


class EndpointAnswer:
    """Status and headers of an endpoint's answer."""

    __slots__ = ("headers", "reason", "status")

    def __init__(
        self, status: int, reason: str, headers: list[Header]
    ) -> None:
        self.status = status
        self.reason = reason
        self.headers = headers


class IdleStream:
    """An open connection that no request uses."""

    __slots__ = ("idle_since_s", "stream")

    def __init__(self, stream: IOStream, idle_since_s: float) -> None:
        self.stream = stream
        self.idle_since_s = idle_since_s


class AnswerReader(HTTPMessageDelegate):
    """Takes one answer off a connection.

    Parameters
    ----------
    method : str
        The request's method.
    on_head, on_chunk : callable
        Called with the answer's head and with each part of its body; the
        future of ``on_chunk`` holds back the reading.
    """

    def __init__(
        self,
        method: str,
        on_head: Callable[[EndpointAnswer], None],
        on_chunk: Callable[[bytes], Awaitable[None] | None],
    ) -> None:
        self.whole = False
        self.reusable = False
        self.fault = ""
        self._method = method
        self._on_head = on_head
        self._on_chunk = on_chunk

    def headers_received(
        self, start_line: object, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Take the head."""
        line: ResponseStartLine = start_line  # type: ignore[assignment]
        if line.code < FIRST_FINAL_STATUS:
            return None
        bodyless = self._method == "HEAD" or line.code in NO_BODY_STATUSES
        chunked = "Transfer-Encoding" in headers
        if not bodyless and not chunked and "Content-Length" not in headers:
            self.fault = "its answer has no length"
            return None
        closes = headers.get("Connection", "").lower() == "close"
        self.reusable = line.version == "HTTP/1.1" and not closes
        listed = [Header(name, value) for name, value in headers.get_all()]
        self._on_head(
            EndpointAnswer(line.code, line.reason, end_to_end_headers(listed))
        )
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Take a part of the body."""
        if self.fault:
            return None
        return self._on_chunk(chunk)

    def finish(self) -> None:
        """Note that the answer came whole."""
        self.whole = not self.fault


class EndpointClient:
    """Calls the endpoints beside the agent."""

    def __init__(self) -> None:
        self._idle: dict[str, list[IdleStream]] = {}
        self._parameters = HTTP1ConnectionParameters(
            chunk_size=CHUNK_BYTES,
            max_body_size=MAX_ANSWER_BYTES,
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
        on_head: Callable[[EndpointAnswer], None],
        on_chunk: Callable[[bytes], Awaitable[None] | None],
    ) -> None:
        """Call an endpoint; its answer goes to the callables as it comes.

        Raises
        ------
        EndpointFailedError
            No whole answer came; the verdict says whether it may have run.
        DeadlinePassedError
            The deadline passed first.
        """
        stream = self._take(address)
        if stream is None:
            stream = await self._connect(address, deadline_s)
        reader = AnswerReader(method, on_head, on_chunk)
        try:
            async with asyncio.timeout(deadline_s - time.monotonic()):
                await self._exchange(
                    stream, address, method, target, headers, body, reader
                )
        except TimeoutError:
            raise DeadlinePassedError(
                "the deadline passed at the endpoint", Verdict.MAY_HAVE_RUN
            ) from None
        except (StreamClosedError, HTTPInputError, OSError) as error:
            raise EndpointFailedError(
                f"the endpoint failed: {error}"
            ) from None
        finally:
            self._put_back(address, stream, reader)
        if not reader.whole:
            fault = reader.fault or "it broke off its answer"
            raise EndpointFailedError(f"the endpoint failed: {fault}")

    def close(self) -> None:
        """Drop the connections."""
        for kept in self._idle.values():
            for idle in kept:
                idle.stream.close()
        self._idle.clear()

    async def _exchange(
        self,
        stream: IOStream,
        address: str,
        method: str,
        target: str,
        headers: list[Header],
        body: bytes,
        reader: AnswerReader,
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
                f"the endpoint can't be reached: {error}", Verdict.NOT_RUN
            ) from None
        stream.set_nodelay(True)
        return stream

    def _take(self, address: str) -> IOStream | None:
        kept = self._idle.get(address, [])
        now_s = time.monotonic()
        while kept:
            idle = kept.pop()
            fresh = now_s - idle.idle_since_s < KEEP_IDLE_S
            if fresh and not idle.stream.closed():
                return idle.stream
            idle.stream.close()
        return None

    def _put_back(
        self, address: str, stream: IOStream, reader: AnswerReader
    ) -> None:
        kept = self._idle.setdefault(address, [])
        usable = reader.whole and reader.reusable and not stream.closed()
        if not usable or len(kept) >= MAX_IDLE:
            stream.close()
            return
        stream.set_close_callback(None)
        kept.append(IdleStream(stream, time.monotonic()))
