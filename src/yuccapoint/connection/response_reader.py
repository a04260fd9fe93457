"""Reader of a response whose parts may extend the timeout of its call."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders
from tornado.httputil import parse_response_start_line

from yuccapoint.connection.http_response import HttpResponse

if TYPE_CHECKING:
    from tornado.iostream import IOStream

    from yuccapoint.connection.transfer import Transfer

# Bounds on a response's head and body.
MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 16 * 1_024 * 1_024
# A body is read in parts of at most this size.
PART_BYTES = 65_536
STATUS_NO_CONTENT = 204


class ResponseReader:
    """Reads the response of one call.

    Parameters
    ----------
    stream : IOStream
        Connection on which the request was sent.
    transfer : Transfer
        Progress of the call.
    stall_timeout_s : float
        Time for each part of the body in seconds; 0 if the deadline of the
        call holds for all of it.
    timeout : asyncio.Timeout
        Timeout of the call, which parts extend.
    """

    __slots__ = ("_stall_timeout_s", "_stream", "_timeout", "_transfer")

    def __init__(
        self,
        stream: IOStream,
        transfer: Transfer,
        stall_timeout_s: float,
        timeout: asyncio.Timeout,
    ) -> None:
        self._stream = stream
        self._transfer = transfer
        self._stall_timeout_s = stall_timeout_s
        self._timeout = timeout

    async def read(self) -> tuple[HttpResponse, bool]:
        """Return the response, and whether its connection can be reused.

        Raises
        ------
        HTTPInputError, ValueError
            The response is invalid.
        OSError, StreamClosedError
            The connection failed.
        """
        head = await self._stream.read_until(b"\r\n\r\n", MAX_HEAD_BYTES)
        self._transfer.on_head(time.monotonic(), self._stall_timeout_s)
        self._reschedule()
        status_line, _, header_lines = head.decode("latin-1").partition("\r\n")
        start = parse_response_start_line(status_line)
        headers = HTTPHeaders.parse(header_lines)
        body = b""
        closes_after = headers.get("Connection", "").lower() == "close"
        if headers.get("Transfer-Encoding", "").lower() == "chunked":
            body = await self._read_chunks()
        elif "Content-Length" in headers:
            size = int(headers["Content-Length"])
            if not 0 <= size <= MAX_BODY_BYTES:
                raise ValueError(f"unacceptable Content-Length {size}")
            body = await self._read_bytes(size)
        elif start.code != STATUS_NO_CONTENT:
            body = await self._stream.read_until_close()
            closes_after = True
        return HttpResponse(start.code, headers, body), not closes_after

    async def _read_bytes(self, size_bytes: int) -> bytes:
        parts: list[bytes] = []
        left_bytes = size_bytes
        while left_bytes:
            part = await self._stream.read_bytes(
                min(left_bytes, PART_BYTES), partial=True
            )
            parts.append(part)
            left_bytes -= len(part)
            self._transfer.on_part(
                len(part), time.monotonic(), self._stall_timeout_s
            )
            self._reschedule()
        return b"".join(parts)

    async def _read_chunks(self) -> bytes:
        chunks: list[bytes] = []
        total = 0
        while True:
            line = await self._stream.read_until(b"\r\n", MAX_HEAD_BYTES)
            size = int(line.split(b";")[0], 16)
            if size < 0:
                raise ValueError(f"negative chunk size {size}")
            total += size
            if total > MAX_BODY_BYTES:
                raise ValueError(
                    f"response body exceeds {MAX_BODY_BYTES} bytes"
                )
            chunk = await self._read_bytes(size + 2)
            if not size:
                return b"".join(chunks)
            chunks.append(chunk[:-2])

    def _reschedule(self) -> None:
        if not self._stall_timeout_s:
            return
        left_s = self._transfer.deadline_s - time.monotonic()
        self._timeout.reschedule(asyncio.get_running_loop().time() + left_s)
