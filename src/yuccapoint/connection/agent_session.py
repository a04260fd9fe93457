"""An entry's session to one agent; responses are matched by request id."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from yuccapoint.connection.delivery_monitor import DeliveryMonitor
from yuccapoint.connection.delivery_monitor import MAX_PATIENCE_S
from yuccapoint.connection.delivery_monitor import MIN_PATIENCE_S
from yuccapoint.connection.frame_stream import FrameStream
from yuccapoint.connection.frames import KeyClaim
from yuccapoint.connection.frames import KeyClaimResult
from yuccapoint.connection.frames import KeyRelease
from yuccapoint.connection.frames import RequestCancel
from yuccapoint.connection.frames import RequestChunk
from yuccapoint.connection.frames import RequestFailed
from yuccapoint.connection.frames import ResponseChunk
from yuccapoint.connection.frames import ResponseCredit
from yuccapoint.connection.frames import ResponseHead
from yuccapoint.connection.frames import SessionHandshake
from yuccapoint.connection.frames import SessionProbe
from yuccapoint.connection.frames import SessionReceipt
from yuccapoint.exceptions import ProtocolError
from yuccapoint.request.exceptions import SessionLostError
from yuccapoint.request.pending_response import PendingResponse
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.connection.frames import Frame
    from yuccapoint.connection.frames import RequestHead

CONNECT_TIMEOUT_S = 1.0
# Interval between checks of a session with unanswered requests, in seconds.
WATCH_INTERVAL_S = 0.25
PROBE_NUMBER_BITS = 48


class AgentSession:
    """Sends requests to an agent and collects their responses.

    A connection may fall silent without being closed. While requests are
    unanswered, the agent has to confirm probes on the session; it is replaced
    if it stays silent although the agent responds on a new connection.

    Attributes
    ----------
    unmatched_responses : int
        Responses that arrived for a request that is no longer pending.
    agent_incarnation : int
        Incarnation in the agent's last handshake.

    Parameters
    ----------
    name : str
        This entry's name.
    incarnation : int
        This entry's incarnation.
    address : str
        The agent's session address.
    on_load : callable
        Called with the endpoint and the load that a response reports.
    vm : str
        Name required in the agent's handshake; empty accepts any.
    log : callable, optional
        Logs an event: its part, text and fields.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        address: str,
        on_load: Callable[[str, int], None],
        vm: str = "",
        log: Callable[..., None] | None = None,
    ) -> None:
        self.address = address
        self.vm = vm
        self.unmatched_responses = 0
        self.agent_incarnation = 0
        self._handshake = SessionHandshake(name, incarnation)
        self._on_load = on_load
        self._pending: dict[int, PendingResponse] = {}
        self._claims: dict[int, asyncio.Future[KeyClaimResult]] = {}
        self._last_request_id = 0
        self._frames: FrameStream | None = None
        self._connecting: asyncio.Task[FrameStream] | None = None
        self._reader_task: asyncio.Task[None] | None = None
        self._watch_task: asyncio.Task[None] | None = None
        self._log = log
        self._monitor = DeliveryMonitor(random.getrandbits(PROBE_NUMBER_BITS))
        self._confirms_probes = False
        self._received_at_s = 0.0
        # Set while requests or claims are unanswered.
        self._awaited = asyncio.Event()

    def next_request_id(self) -> int:
        """Return the id for a new request."""
        self._last_request_id += 1
        return self._last_request_id

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
            Where to collect the response; ``sent`` is set once the whole
            request was written.

        Returns
        -------
        PendingResponse
            Collects the response.

        Raises
        ------
        SessionLostError
            The agent could not be reached or the session was lost.
        """
        frames = await self._ensure_connected()
        if pending is None:
            pending = PendingResponse(head.endpoint)
        self._pending[head.request_id] = pending
        self._awaited.set()
        try:
            await self._write(frames, head, rest, pending)
        except StreamClosedError:
            self._pending.pop(head.request_id, None)
            verdict = Verdict.NOT_RUN
            if pending.sent:
                verdict = Verdict.MAY_HAVE_RUN
            raise SessionLostError(
                "session to the agent was lost", verdict
            ) from None
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

    async def claim(
        self, scope: str, key: str, claimant: str
    ) -> KeyClaimResult:
        """Ask the agent to claim an idempotency key.

        Raises
        ------
        SessionLostError
            The agent could not be reached or the session was lost.
        """
        frames = await self._ensure_connected()
        request_id = self.next_request_id()
        result: asyncio.Future[KeyClaimResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._claims[request_id] = result
        self._awaited.set()
        try:
            frames.write(KeyClaim(request_id, scope, key, claimant))
            return await result
        except StreamClosedError:
            raise SessionLostError("session to the agent was lost") from None
        finally:
            self._claims.pop(request_id, None)

    def release(self, scope: str, key: str, claimant: str) -> None:
        """Release a claimed key if the session is open."""
        if self._frames is not None and not self._frames.closed:
            with contextlib.suppress(StreamClosedError):
                self._frames.write(KeyRelease(scope, key, claimant))

    def send_credit(self, request_id: int) -> None:
        """Allow the agent one more chunk: the caller consumed one."""
        if self._frames is not None and not self._frames.closed:
            with contextlib.suppress(StreamClosedError):
                self._frames.write(ResponseCredit(request_id, 1))

    def cancel(self, request_id: int) -> None:
        """Cancel a request; a response that still arrives is dropped."""
        if self._pending.pop(request_id, None) is None:
            return
        if self._frames is not None and not self._frames.closed:
            with contextlib.suppress(StreamClosedError):
                self._frames.write(RequestCancel(request_id))

    def complete(self, request_id: int) -> None:
        """Remove a request whose response is complete."""
        self._pending.pop(request_id, None)

    def close(self) -> None:
        """Close the session and fail the pending requests and claims."""
        if self._connecting is not None:
            self._connecting.cancel()
        if self._reader_task is not None:
            self._reader_task.cancel()
        if self._watch_task is not None:
            self._watch_task.cancel()
        if self._frames is not None:
            self._frames.close()
        self._fail_pending()

    async def _ensure_connected(self) -> FrameStream:
        if self._frames is not None and not self._frames.closed:
            return self._frames
        if self._connecting is None or self._connecting.done():
            self._connecting = asyncio.ensure_future(self._connect())
        connecting = self._connecting
        try:
            return await asyncio.shield(connecting)
        except asyncio.CancelledError:
            if not connecting.cancelled():
                raise
            raise SessionLostError(
                "session was closed while connecting", Verdict.NOT_RUN
            ) from None
        except (OSError, StreamClosedError, ProtocolError) as error:
            raise SessionLostError(
                f"can't connect to the agent: {error}", Verdict.NOT_RUN
            ) from None

    async def _connect(self) -> FrameStream:
        frames = await self._open()
        if self._watch_task is not None:
            self._watch_task.cancel()
        self._watch_task = asyncio.ensure_future(self._watch())
        self._use(frames)
        return frames

    def _use(self, frames: FrameStream) -> None:
        self._frames = frames
        self._monitor.on_reopened(time.monotonic())
        self._received_at_s = time.monotonic()
        self._reader_task = asyncio.ensure_future(self._read(frames))

    async def _open(self) -> FrameStream:
        host, _, port = self.address.rpartition(":")
        stream = await asyncio.wait_for(
            TCPClient().connect(host, int(port)), CONNECT_TIMEOUT_S
        )
        frames = FrameStream(stream)
        try:
            frames.write(self._handshake)
            await asyncio.wait_for(
                self._receive_handshake(frames), CONNECT_TIMEOUT_S
            )
        except BaseException:
            frames.close()
            raise
        return frames

    async def _receive_handshake(self, frames: FrameStream) -> None:
        frames_read = await frames.read()
        handshake = frames_read[0]
        if not isinstance(handshake, SessionHandshake):
            raise ProtocolError("first frame from the agent is no handshake")
        if self.vm and handshake.name != self.vm:
            raise ProtocolError(
                f"handshake is from {handshake.name}, expected {self.vm}"
            )
        self.agent_incarnation = handshake.incarnation
        self._confirms_probes = handshake.confirms_probes

    async def _read(self, frames: FrameStream) -> None:
        try:
            while True:
                frames_read = await frames.read()
                self._received_at_s = time.monotonic()
                for frame in frames_read:
                    self._dispatch(frame)
        except (StreamClosedError, ProtocolError):
            frames.close()
            if self._frames is frames:
                self._fail_pending()

    async def _watch(self) -> None:
        """Probe the session while requests wait; replace it if silent."""
        while self._frames is not None and not self._frames.closed:
            if not self._pending and not self._claims:
                self._awaited.clear()
                await self._awaited.wait()
                continue
            if self._is_silent(self._frames, time.monotonic()):
                await self._replace(self._frames)
            number = None
            if self._confirms_probes:
                number = self._monitor.next_probe(time.monotonic())
            if number is not None:
                with contextlib.suppress(StreamClosedError):
                    self._frames.write(SessionProbe(number))
            await asyncio.sleep(WATCH_INTERVAL_S)

    def _is_silent(self, frames: FrameStream, now_s: float) -> bool:
        silent_s = self._monitor.silent_s(now_s)
        if not silent_s or now_s - self._received_at_s < MIN_PATIENCE_S:
            return False
        # A probe behind a large body takes as long as the body.
        return not frames.writing or silent_s >= MAX_PATIENCE_S

    async def _replace(self, silent: FrameStream) -> None:
        """Replace a session if the agent responds on a new connection.

        An agent that responds on neither is down, paused or cut off, and may
        still answer the requests that it has received.
        """
        try:
            frames = await self._open()
        except (OSError, StreamClosedError, ProtocolError):
            return
        try:
            # Responses of an agent that has just resumed may be on their way.
            await asyncio.sleep(WATCH_INTERVAL_S)
        except asyncio.CancelledError:
            frames.close()
            raise
        now_s = time.monotonic()
        if silent.closed or not self._is_silent(silent, now_s):
            frames.close()
            return
        if self._log is not None:
            self._log(
                "session",
                "the agent confirms nothing; replacing the session",
                vm=self.vm,
                silent_ms=int(self._monitor.silent_s(now_s) * 1000),
                requests=len(self._pending),
            )
        self._use(frames)
        silent.close()
        self._fail_pending()

    def _dispatch(self, frame: Frame) -> None:
        if isinstance(frame, SessionReceipt):
            self._monitor.on_receipt(frame.number, time.monotonic())
            return
        if isinstance(frame, KeyClaimResult):
            claim = self._claims.get(frame.request_id)
            if claim is not None and not claim.done():
                claim.set_result(frame)
            return
        if not isinstance(frame, ResponseHead | ResponseChunk | RequestFailed):
            return
        pending = self._pending.get(frame.request_id)
        if pending is None:
            self.unmatched_responses += 1
            return
        if isinstance(frame, ResponseChunk):
            pending.on_chunk(frame)
            return
        self._on_load(pending.endpoint, frame.in_flight)
        if isinstance(frame, ResponseHead):
            pending.on_head(frame)
            return
        pending.on_refused(frame)

    def _fail_pending(self) -> None:
        pending = list(self._pending.values())
        self._pending.clear()
        for response in pending:
            response.on_session_lost()
        for claim in self._claims.values():
            if not claim.done():
                claim.set_exception(
                    SessionLostError("session to the agent was lost")
                )
