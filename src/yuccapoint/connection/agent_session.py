"""An entry's session to one agent; answers are matched by request id."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from yuccapoint.connection.frame_stream import CHUNK_BYTES
from yuccapoint.connection.frame_stream import FrameStream
from yuccapoint.connection.frames import AnswerChunk
from yuccapoint.connection.frames import AnswerHead
from yuccapoint.connection.frames import AnswerRefused
from yuccapoint.connection.frames import RequestCancel
from yuccapoint.connection.frames import RequestChunk
from yuccapoint.connection.frames import SessionHello
from yuccapoint.exceptions import ProtocolError
from yuccapoint.request.exceptions import SessionLostError
from yuccapoint.request.pending_answer import PendingAnswer
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.connection.frames import Frame
    from yuccapoint.connection.frames import RequestHead

CONNECT_TIMEOUT_S = 1.0


class AgentSession:
    """Sends requests to an agent and collects their answers.

    Parameters
    ----------
    name : str
        This entry's name.
    incarnation : int
        This entry's incarnation.
    address : str
        The agent's session address.
    on_load : callable
        Called with the load that an answer reports.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        address: str,
        on_load: Callable[[int], None],
    ) -> None:
        self.address = address
        self.dropped = 0
        self._hello = SessionHello(name, incarnation)
        self._on_load = on_load
        self._pending: dict[int, PendingAnswer] = {}
        self._next_id = 0
        self._frames: FrameStream | None = None
        self._opening: asyncio.Task[FrameStream] | None = None
        self._reading: asyncio.Task[None] | None = None

    def next_id(self) -> int:
        """Number a request."""
        self._next_id += 1
        return self._next_id

    async def call(
        self, head: RequestHead, rest: list[bytes]
    ) -> PendingAnswer:
        """Send a request.

        Parameters
        ----------
        head : RequestHead
            The request with the first part of its body.
        rest : list of bytes
            The other parts, in order.

        Returns
        -------
        PendingAnswer
            Where the answer will arrive.

        Raises
        ------
        SessionLostError
            The agent could not be reached or the session broke.
        """
        frames = await self._open()
        pending = PendingAnswer()
        self._pending[head.request_id] = pending
        try:
            pending.sent = True
            written = frames.write(head)
            for index, data in enumerate(rest):
                await written
                last = index == len(rest) - 1
                chunk = RequestChunk(head.request_id, data, last)
                written = frames.write(chunk)
        except StreamClosedError:
            self._pending.pop(head.request_id, None)
            verdict = Verdict.MAY_HAVE_RUN
            raise SessionLostError("the session broke", verdict) from None
        return pending

    def forget(self, request_id: int) -> None:
        """Stop waiting for an answer; a late one will be dropped."""
        if self._pending.pop(request_id, None) is None:
            return
        if self._frames is not None and not self._frames.closed:
            with contextlib.suppress(StreamClosedError):
                self._frames.write(RequestCancel(request_id))

    def done(self, request_id: int) -> None:
        """Forget a request whose answer came whole."""
        self._pending.pop(request_id, None)

    def close(self) -> None:
        """Close the session; requests that wait learn of it."""
        if self._opening is not None:
            self._opening.cancel()
        if self._reading is not None:
            self._reading.cancel()
        if self._frames is not None:
            self._frames.close()
        self._lose_all()

    async def _open(self) -> FrameStream:
        if self._frames is not None and not self._frames.closed:
            return self._frames
        if self._opening is None or self._opening.done():
            self._opening = asyncio.ensure_future(self._connect())
        try:
            return await asyncio.shield(self._opening)
        except (OSError, asyncio.CancelledError, TimeoutError) as error:
            raise SessionLostError(
                f"the agent can't be reached: {error}", Verdict.NOT_RUN
            ) from None

    async def _connect(self) -> FrameStream:
        host, _, port = self.address.rpartition(":")
        stream = await asyncio.wait_for(
            TCPClient().connect(host, int(port)), CONNECT_TIMEOUT_S
        )
        frames = FrameStream(stream)
        frames.write(self._hello)
        self._frames = frames
        self._reading = asyncio.ensure_future(self._read(frames))
        return frames

    async def _read(self, frames: FrameStream) -> None:
        try:
            while True:
                for frame in await frames.read():
                    self._take(frame)
        except (StreamClosedError, ProtocolError):
            frames.close()
            if self._frames is frames:
                self._lose_all()

    def _take(self, frame: Frame) -> None:
        if not isinstance(frame, AnswerHead | AnswerChunk | AnswerRefused):
            return
        pending = self._pending.get(frame.request_id)
        if pending is None:
            self.dropped += 1
            return
        if isinstance(frame, AnswerChunk):
            pending.on_chunk(frame)
            return
        self._on_load(frame.in_flight)
        if isinstance(frame, AnswerHead):
            pending.on_head(frame)
            return
        pending.on_refused(frame)

    def _lose_all(self) -> None:
        pending = list(self._pending.values())
        self._pending.clear()
        for answer in pending:
            answer.on_lost()


def split_body(chunks: list[bytes]) -> list[bytes]:
    """Cut a body into parts that fit a frame, without joining them."""
    parts = []
    for chunk in chunks:
        for start in range(0, len(chunk), CHUNK_BYTES):
            parts.append(chunk[start : start + CHUNK_BYTES])
    return parts
