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
from yuccapoint.connection.frames import AnswerCredit
from yuccapoint.connection.frames import AnswerHead
from yuccapoint.connection.frames import AnswerRefused
from yuccapoint.connection.frames import KeyAnswer
from yuccapoint.connection.frames import KeyClaim
from yuccapoint.connection.frames import KeyRelease
from yuccapoint.connection.frames import RequestCancel
from yuccapoint.connection.frames import RequestChunk
from yuccapoint.connection.frames import SessionHello
from yuccapoint.exceptions import ProtocolError
from yuccapoint.request.exceptions import SessionLostError
from yuccapoint.request.pending_response import PendingResponse
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.connection.frames import Frame
    from yuccapoint.connection.frames import RequestHead

CONNECT_TIMEOUT_S = 1.0


class AgentSession:
    """Sends requests to an agent and collects their answers.

    Attributes
    ----------
    dropped : int
        Answers that found nobody waiting.
    agent_incarnation : int
        Which start of the agent greeted last.

    Parameters
    ----------
    name : str
        This entry's name.
    incarnation : int
        This entry's incarnation.
    address : str
        The agent's session address.
    on_load : callable
        Called with the endpoint and the load that an answer reports.
    vm : str
        Name that the agent has to greet with; empty: any.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        address: str,
        on_load: Callable[[str, int], None],
        vm: str = "",
    ) -> None:
        self.address = address
        self.vm = vm
        self.dropped = 0
        self.agent_incarnation = 0
        self._hello = SessionHello(name, incarnation)
        self._on_load = on_load
        self._pending: dict[int, PendingResponse] = {}
        self._claims: dict[int, asyncio.Future[KeyAnswer]] = {}
        self._next_id = 0
        self._frames: FrameStream | None = None
        self._opening: asyncio.Task[FrameStream] | None = None
        self._reading: asyncio.Task[None] | None = None

    def next_id(self) -> int:
        """Number a request."""
        self._next_id += 1
        return self._next_id

    async def call(
        self,
        head: RequestHead,
        rest: list[bytes],
        pending: PendingResponse | None = None,
    ) -> PendingResponse:
        """Send a request.

        Parameters
        ----------
        head : RequestHead
            The request with the first part of its body.
        rest : list of bytes
            The other parts, in order.
        pending : PendingResponse or None
            What to fill; its ``sent`` tells how far a broken call came.

        Returns
        -------
        PendingResponse
            Where the answer will arrive.

        Raises
        ------
        SessionLostError
            The agent could not be reached or the session broke.
        """
        frames = await self._open()
        if pending is None:
            pending = PendingResponse(head.endpoint)
        self._pending[head.request_id] = pending
        try:
            await self._write(frames, head, rest, pending)
        except StreamClosedError:
            self._pending.pop(head.request_id, None)
            verdict = Verdict.NOT_RUN
            if pending.sent:
                verdict = Verdict.MAY_HAVE_RUN
            raise SessionLostError("the session broke", verdict) from None
        return pending

    async def _write(
        self,
        frames: FrameStream,
        head: RequestHead,
        rest: list[bytes],
        pending: PendingResponse,
    ) -> None:
        written = frames.write(head)
        pending.sent = head.last
        for index, data in enumerate(rest):
            await written
            last = index == len(rest) - 1
            chunk = RequestChunk(head.request_id, data, last)
            written = frames.write(chunk)
            pending.sent = last

    async def claim(self, scope: str, key: str, claimant: str) -> KeyAnswer:
        """Ask the agent to claim an idempotency key.

        Raises
        ------
        SessionLostError
            The agent could not be reached or the session broke.
        """
        frames = await self._open()
        request_id = self.next_id()
        answer: asyncio.Future[KeyAnswer] = (
            asyncio.get_running_loop().create_future()
        )
        self._claims[request_id] = answer
        try:
            frames.write(KeyClaim(request_id, scope, key, claimant))
            return await answer
        except StreamClosedError:
            raise SessionLostError("the session broke") from None
        finally:
            self._claims.pop(request_id, None)

    def release(self, scope: str, key: str, claimant: str) -> None:
        """Release a claimed key, if the session still stands."""
        if self._frames is not None and not self._frames.closed:
            with contextlib.suppress(StreamClosedError):
                self._frames.write(KeyRelease(scope, key, claimant))

    def credit(self, request_id: int) -> None:
        """Tell the agent that the caller took a part of an answer."""
        if self._frames is not None and not self._frames.closed:
            with contextlib.suppress(StreamClosedError):
                self._frames.write(AnswerCredit(request_id, 1))

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
        opening = self._opening
        try:
            return await asyncio.shield(opening)
        except asyncio.CancelledError:
            if not opening.cancelled():
                raise
            raise SessionLostError(
                "the session was closed", Verdict.NOT_RUN
            ) from None
        except (OSError, StreamClosedError, ProtocolError) as error:
            raise SessionLostError(
                f"the agent can't be reached: {error}", Verdict.NOT_RUN
            ) from None

    async def _connect(self) -> FrameStream:
        host, _, port = self.address.rpartition(":")
        stream = await asyncio.wait_for(
            TCPClient().connect(host, int(port)), CONNECT_TIMEOUT_S
        )
        frames = FrameStream(stream)
        try:
            frames.write(self._hello)
            await asyncio.wait_for(self._greeted(frames), CONNECT_TIMEOUT_S)
        except BaseException:
            frames.close()
            raise
        self._frames = frames
        self._reading = asyncio.ensure_future(self._read(frames))
        return frames

    async def _greeted(self, frames: FrameStream) -> None:
        first = await frames.read()
        hello = first[0]
        if not isinstance(hello, SessionHello):
            raise ProtocolError("the agent did not greet")
        if self.vm and hello.name != self.vm:
            raise ProtocolError(f"{hello.name} answers for {self.vm}")
        self.agent_incarnation = hello.incarnation

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
        if isinstance(frame, KeyAnswer):
            claim = self._claims.get(frame.request_id)
            if claim is not None and not claim.done():
                claim.set_result(frame)
            return
        if not isinstance(frame, AnswerHead | AnswerChunk | AnswerRefused):
            return
        pending = self._pending.get(frame.request_id)
        if pending is None:
            self.dropped += 1
            return
        if isinstance(frame, AnswerChunk):
            pending.on_chunk(frame)
            return
        self._on_load(pending.endpoint, frame.in_flight)
        if isinstance(frame, AnswerHead):
            pending.on_head(frame)
            return
        pending.on_refused(frame)

    def _lose_all(self) -> None:
        pending = list(self._pending.values())
        self._pending.clear()
        for answer in pending:
            answer.on_session_lost()
        for claim in self._claims.values():
            if not claim.done():
                claim.set_exception(SessionLostError("the session broke"))


def split_body(chunks: list[bytes]) -> list[bytes]:
    """Cut a body into parts that fit a frame, without joining them."""
    parts = []
    for chunk in chunks:
        for start in range(0, len(chunk), CHUNK_BYTES):
            parts.append(chunk[start : start + CHUNK_BYTES])
    return parts
