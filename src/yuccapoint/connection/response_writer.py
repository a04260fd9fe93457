"""Streams an endpoint's response into a session."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError

from yuccapoint.connection.frame_stream import CHUNK_BYTES
from yuccapoint.connection.frames import ResponseChunk
from yuccapoint.connection.frames import ResponseHead

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.connection.endpoint_client import EndpointResponse
    from yuccapoint.connection.frame_stream import FrameStream

INITIAL_CREDIT_CHUNKS = 8


class ResponseWriter:
    """Sends a small response in one frame and a large one in chunks.

    Chunks are flow-controlled by credits, which the entry grants as its
    caller consumes earlier chunks. A slow caller therefore delays only its
    own response and uses bounded memory.

    Parameters
    ----------
    frames : FrameStream
        The session.
    request_id : int
        The request's number in the session.
    load : callable
        Returns the endpoint's load, which the head reports.
    """

    def __init__(
        self, frames: FrameStream, request_id: int, load: Callable[[], int]
    ) -> None:
        self._frames = frames
        self._request_id = request_id
        self._load = load
        self._response: EndpointResponse | None = None
        self._head_sent = False
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._credit_chunks = INITIAL_CREDIT_CHUNKS
        self._credit_added = asyncio.Event()
        self._cancelled = False

    def on_head(self, response: EndpointResponse) -> None:
        """Store the response's head until the first write."""
        self._response = response

    def on_chunk(self, data: bytes) -> asyncio.Task[None] | None:
        """Buffer a part of the body.

        The returned task is done when the buffer was flushed; it waits for
        credit. None means that nothing was flushed.
        """
        if self._cancelled:
            return None
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes <= CHUNK_BYTES:
            return None
        return asyncio.ensure_future(self._flush())

    def on_credit(self, chunks: int) -> None:
        """Add credit for more chunks."""
        self._credit_chunks += chunks
        self._credit_added.set()

    def cancel(self) -> None:
        """Discard the rest of the response; its request was cancelled."""
        self._cancelled = True
        self._buffer.clear()
        self._credit_added.set()

    def finish(self) -> None:
        """Send the rest of a complete response."""
        if self._cancelled:
            return
        data = b"".join(self._buffer)
        self._buffer.clear()
        with contextlib.suppress(StreamClosedError):
            self._write(data[:CHUNK_BYTES], last=len(data) <= CHUNK_BYTES)
            if len(data) > CHUNK_BYTES:
                self._write(data[CHUNK_BYTES:], last=True)

    async def _flush(self) -> None:
        data = b"".join(self._buffer)
        self._buffer.clear()
        self._buffered_bytes = 0
        for start in range(0, len(data), CHUNK_BYTES):
            while self._credit_chunks <= 0 and not self._cancelled:
                self._credit_added.clear()
                await self._credit_added.wait()
            if self._cancelled:
                return
            self._credit_chunks -= 1
            part = data[start : start + CHUNK_BYTES]
            try:
                await self._write(part, last=False)
            except StreamClosedError:
                self.cancel()

    def _write(self, data: bytes, *, last: bool) -> asyncio.Future[None]:
        if self._head_sent or self._response is None:
            chunk = ResponseChunk(self._request_id, data, last)
            return self._frames.write(chunk)
        self._head_sent = True
        head = ResponseHead(
            self._request_id,
            self._response.status,
            self._response.reason,
            self._response.headers,
            self._load(),
            data,
            last,
        )
        return self._frames.write(head)
