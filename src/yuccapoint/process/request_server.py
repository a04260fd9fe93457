"""An agent's side of the request sessions."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError
from tornado.tcpserver import TCPServer

from yuccapoint.connection.frame_stream import FrameStream
from yuccapoint.connection.frames import RequestCancel
from yuccapoint.connection.frames import RequestChunk
from yuccapoint.connection.frames import RequestHead
from yuccapoint.connection.frames import SessionHello
from yuccapoint.exceptions import ProtocolError
from yuccapoint.process.served_request import ServedRequest

if TYPE_CHECKING:
    from tornado.iostream import IOStream

    from yuccapoint.connection.frames import Frame
    from yuccapoint.process.agent_process import AgentProcess


FLUSH_S = 0.2


class RequestServer(TCPServer):
    """Accepts sessions of entries."""

    def __init__(self, agent: AgentProcess) -> None:
        super().__init__()
        self._agent = agent
        self._sessions: set[ServedSession] = set()

    async def handle_stream(
        self, stream: IOStream, address: tuple[str, int]
    ) -> None:
        """Serve one session until it ends."""
        del address
        session = ServedSession(self._agent, FrameStream(stream))
        self._sessions.add(session)
        try:
            await session.serve()
        finally:
            self._sessions.discard(session)

    @property
    def in_flight(self) -> int:
        """Requests that have come and are not answered."""
        return sum(session.in_flight for session in self._sessions)

    async def flush(self) -> None:
        """Give the answers written last time to leave."""
        await asyncio.sleep(FLUSH_S)

    def close_all(self) -> None:
        """Close all sessions."""
        for session in list(self._sessions):
            session.close()


class ServedSession:
    """One entry's session and its requests."""

    def __init__(self, agent: AgentProcess, frames: FrameStream) -> None:
        self.agent = agent
        self.frames = frames
        self.name = ""
        self._requests: dict[int, ServedRequest] = {}

    @property
    def in_flight(self) -> int:
        """Requests of this session that are not answered."""
        return len(self._requests)

    async def serve(self) -> None:
        """Read frames until the session ends."""
        hello = SessionHello(self.agent.name, self.agent.incarnation)
        with contextlib.suppress(StreamClosedError):
            self.frames.write(hello)
        try:
            while True:
                for frame in await self.frames.read():
                    self._take(frame)
        except StreamClosedError:
            pass
        except ProtocolError as error:
            self.agent.logs.say("session", f"closed: {error}")
        self.close()
        for request in list(self._requests.values()):
            request.cancel()

    def close(self) -> None:
        """Close the session."""
        self.frames.close()

    def _take(self, frame: Frame) -> None:
        if isinstance(frame, SessionHello):
            self.name = f"{frame.name}@{frame.incarnation}"
            return
        if isinstance(frame, RequestHead):
            self._begin(frame)
            return
        if isinstance(frame, RequestChunk):
            request = self._requests.get(frame.request_id)
            if request is not None:
                request.on_chunk(frame)
            return
        if isinstance(frame, RequestCancel):
            request = self._requests.get(frame.request_id)
            if request is not None:
                request.cancel()

    def _begin(self, head: RequestHead) -> None:
        if head.request_id in self._requests:
            return
        deadline_s = time.monotonic() + head.remaining_s
        request = ServedRequest(self, head, deadline_s)
        self._requests[head.request_id] = request
        task = asyncio.ensure_future(request.serve())
        task.add_done_callback(
            lambda _: self._requests.pop(head.request_id, None)
        )
