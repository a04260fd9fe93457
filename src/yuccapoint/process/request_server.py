"""Agent side of the request sessions."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import Any
from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError
from tornado.tcpserver import TCPServer

from yuccapoint.connection.duplicate_filter import DuplicateFilter
from yuccapoint.connection.frame_stream import FrameStream
from yuccapoint.connection.frames import KeyClaim
from yuccapoint.connection.frames import KeyClaimResult
from yuccapoint.connection.frames import KeyRelease
from yuccapoint.connection.frames import RequestCancel
from yuccapoint.connection.frames import RequestChunk
from yuccapoint.connection.frames import RequestHead
from yuccapoint.connection.frames import ResponseCredit
from yuccapoint.connection.frames import SessionHandshake
from yuccapoint.connection.frames import SessionProbe
from yuccapoint.connection.frames import SessionReceipt
from yuccapoint.exceptions import ProtocolError
from yuccapoint.process.served_request import ServedRequest
from yuccapoint.request.exceptions import RequestError

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.iostream import IOStream

    from yuccapoint.connection.frames import Frame
    from yuccapoint.process.agent_process import AgentProcess

# Reported instead of a memory span while the agent holds no valid lease; its
# key memory then proves nothing about earlier claims.
NO_MEMORY_S = -1.0
# Time in which requests that are on their way arrive and are refused.
FLUSH_WAIT_S = 0.2
FLUSH_POLL_INTERVAL_S = 0.02


class RequestServer(TCPServer):
    """Accepts sessions from entries."""

    def __init__(self, agent: AgentProcess) -> None:
        super().__init__()
        self._agent = agent
        self._sessions: set[ServedSession] = set()

    async def handle_stream(
        self, stream: IOStream, address: tuple[str, int]
    ) -> None:
        """Serve one session until it closes."""
        del address
        session = ServedSession(self._agent, FrameStream(stream))
        self._sessions.add(session)
        try:
            await session.serve()
        finally:
            self._sessions.discard(session)

    @property
    def in_flight(self) -> int:
        """Number of received requests that are not answered."""
        return sum(session.in_flight for session in self._sessions)

    async def flush(self, deadline_s: float) -> None:
        """Close each session after its entry has received all answers.

        Parameters
        ----------
        deadline_s : float
            Steady time in seconds at which the wait is given up.
        """
        await asyncio.sleep(FLUSH_WAIT_S)
        self.stop()
        while True:
            for session in list(self._sessions):
                session.close_if_idle()
            if not self._sessions or time.monotonic() >= deadline_s:
                return
            await asyncio.sleep(FLUSH_POLL_INTERVAL_S)

    def close_all(self) -> None:
        """Close all sessions."""
        for session in list(self._sessions):
            session.close()


class ServedSession:
    """A session of an entry, with its requests."""

    def __init__(self, agent: AgentProcess, frames: FrameStream) -> None:
        self.agent = agent
        self.frames = frames
        self.name = ""
        self._requests: dict[int, ServedRequest] = {}
        self._late_copies = DuplicateFilter()

    @property
    def in_flight(self) -> int:
        """Number of unanswered requests of this session."""
        return len(self._requests)

    async def serve(self) -> None:
        """Read and dispatch frames until the session closes."""
        handshake = SessionHandshake(
            self.agent.name, self.agent.incarnation, confirms_probes=True
        )
        with contextlib.suppress(StreamClosedError):
            self.frames.write(handshake)
        try:
            while True:
                for frame in await self.frames.read():
                    self._dispatch(frame)
        except StreamClosedError:
            pass
        except ProtocolError as error:
            self.agent.logger.log("session", f"closed: {error}")
        self.close()
        for request in list(self._requests.values()):
            request.cancel()

    def close_if_idle(self) -> None:
        """Close the session unless that cuts off a request or an answer."""
        frames = self.frames
        if not self._requests and frames.delivered and not frames.unread:
            self.close()

    def close(self) -> None:
        """Close the session."""
        self.frames.close()

    def _dispatch(self, frame: Frame) -> None:
        handle = _FRAME_HANDLERS.get(type(frame))
        if handle is not None:
            handle(self, frame)

    def _on_handshake(self, handshake: SessionHandshake) -> None:
        self.name = f"{handshake.name}@{handshake.incarnation}"

    def _on_probe(self, probe: SessionProbe) -> None:
        with contextlib.suppress(StreamClosedError):
            self.frames.write(SessionReceipt(probe.number))

    def _on_head(self, head: RequestHead) -> None:
        if not self._late_copies.add(head.request_id):
            self.agent.metrics.count("late_copies")
            return
        deadline_s = time.monotonic() + head.remaining_s
        request = ServedRequest(self, head, deadline_s)
        self._requests[head.request_id] = request
        task = asyncio.ensure_future(request.serve())
        task.add_done_callback(
            lambda _: self._requests.pop(head.request_id, None)
        )

    def _on_chunk(self, chunk: RequestChunk) -> None:
        request = self._requests.get(chunk.request_id)
        if request is not None:
            request.on_chunk(chunk)

    def _on_cancel(self, cancel: RequestCancel) -> None:
        self._late_copies.add(cancel.request_id)
        request = self._requests.get(cancel.request_id)
        if request is not None:
            request.cancel()

    def _on_credit(self, credit: ResponseCredit) -> None:
        request = self._requests.get(credit.request_id)
        if request is not None:
            request.on_credit(credit.chunks)

    def _on_claim(self, claim: KeyClaim) -> None:
        now_s = time.monotonic()
        keys = self.agent.recent_keys
        refusal = ""
        remembers_for_s = keys.remembers_for_s(now_s)
        if now_s >= self.agent.task_manager.lease_until_s:
            remembers_for_s = NO_MEMORY_S
        try:
            keys.claim(claim.scope, claim.key, claim.claimant, now_s)
        except RequestError as error:
            refusal = str(error)
        answer = KeyClaimResult(
            claim.request_id, refusal, self.agent.incarnation, remembers_for_s
        )
        with contextlib.suppress(StreamClosedError):
            self.frames.write(answer)

    def _on_release(self, release: KeyRelease) -> None:
        self.agent.recent_keys.release(
            release.scope, release.key, release.claimant
        )


_FRAME_HANDLERS: dict[type, Callable[[ServedSession, Any], None]] = {
    SessionHandshake: ServedSession._on_handshake,
    SessionProbe: ServedSession._on_probe,
    RequestHead: ServedSession._on_head,
    RequestChunk: ServedSession._on_chunk,
    RequestCancel: ServedSession._on_cancel,
    ResponseCredit: ServedSession._on_credit,
    KeyClaim: ServedSession._on_claim,
    KeyRelease: ServedSession._on_release,
}
