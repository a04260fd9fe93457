"""The answer that a request waits for, at the entry."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccapoint.request.exceptions import error_of
from yuccapoint.request.exceptions import SessionLostError
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    from yuccapoint.connection.frames import RequestFailed
    from yuccapoint.connection.frames import ResponseChunk
    from yuccapoint.connection.frames import ResponseHead


class PendingAnswer:
    """Collects the frames of one answer in order.

    Attributes
    ----------
    sent : bool
        Whether the whole request was written; an agent starts no other.
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
        """Whether the head or a refusal has come."""
        return self._head.done()

    def on_head(self, head: ResponseHead) -> None:
        """Take the answer's head."""
        if not self._head.done():
            self._head.set_result(head)

    def on_chunk(self, chunk: ResponseChunk) -> None:
        """Take a part of the body."""
        self._chunks.put_nowait(chunk)

    def on_refused(self, refused: RequestFailed) -> None:
        """Take a refusal; after the head it breaks the body off."""
        if self._head.done():
            self._chunks.put_nowait(None)
            return
        error = error_of(
            refused.reason,
            refused.text,
            Verdict(refused.verdict),
            refused.retry_after_s,
        )
        error.status = refused.status
        self._head.set_exception(error)
        self._head.exception()

    def on_lost(self) -> None:
        """Take note that the session broke."""
        if self._head.done():
            self._chunks.put_nowait(None)
            return
        verdict = Verdict.MAY_HAVE_RUN if self.sent else Verdict.NOT_RUN
        text = "the session to the agent broke"
        self._head.set_exception(SessionLostError(text, verdict))
        self._head.exception()

    async def head(self) -> ResponseHead:
        """Wait for the head.

        Raises
        ------
        RequestError
            The request was refused or its session broke.
        """
        return await self._head

    async def chunk(self) -> ResponseChunk:
        """Wait for the next part of the body.

        Raises
        ------
        SessionLostError
            The rest of the body won't come.
        """
        chunk = await self._chunks.get()
        if chunk is None:
            raise SessionLostError("the answer broke off", Verdict.RAN)
        return chunk
