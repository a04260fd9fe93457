"""Response to a request that an entry sent to an agent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccapoint.request.exceptions import error_from_refusal
from yuccapoint.request.exceptions import SessionLostError
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    from yuccapoint.connection.frames import RequestFailed
    from yuccapoint.connection.frames import ResponseChunk
    from yuccapoint.connection.frames import ResponseHead


class PendingResponse:
    """Collects the frames of one response in order.

    Attributes
    ----------
    sent : bool
        Whether the whole request was written; an agent does not start an
        incomplete one.
    """

    __slots__ = ("_chunks", "_head", "endpoint", "sent")

    def __init__(self, endpoint: str = "") -> None:
        self.endpoint = endpoint
        loop = asyncio.get_running_loop()
        self.sent = False
        self._head: asyncio.Future[ResponseHead] = loop.create_future()
        self._chunks: asyncio.Queue[ResponseChunk | None] = asyncio.Queue()

    @property
    def done(self) -> bool:
        """Whether the head or a refusal has arrived."""
        return self._head.done()

    def on_head(self, head: ResponseHead) -> None:
        """Accept the head of the response."""
        if not self._head.done():
            self._head.set_result(head)

    def on_chunk(self, chunk: ResponseChunk) -> None:
        """Accept a chunk of the body."""
        self._chunks.put_nowait(chunk)

    def on_refused(self, refused: RequestFailed) -> None:
        """Accept a refusal; after the head, it aborts the body."""
        if self._head.done():
            self._chunks.put_nowait(None)
            return
        error = error_from_refusal(
            refused.reason,
            refused.text,
            Verdict(refused.verdict),
            refused.retry_after_s,
        )
        error.status = refused.status
        self._head.set_exception(error)
        self._head.exception()

    def on_session_lost(self) -> None:
        """Fail the response because the session was lost."""
        if self._head.done():
            self._chunks.put_nowait(None)
            return
        verdict = Verdict.MAY_HAVE_RUN if self.sent else Verdict.NOT_RUN
        text = "the session to the agent was lost"
        self._head.set_exception(SessionLostError(text, verdict))
        self._head.exception()

    async def head(self) -> ResponseHead:
        """Wait for the head.

        Raises
        ------
        RequestError
            The request was refused or its session was lost.
        """
        return await self._head

    async def chunk(self) -> ResponseChunk:
        """Wait for the next chunk of the body.

        Raises
        ------
        SessionLostError
            The body was aborted.
        """
        chunk = await self._chunks.get()
        if chunk is None:
            raise SessionLostError("the response was aborted", Verdict.RAN)
        return chunk
