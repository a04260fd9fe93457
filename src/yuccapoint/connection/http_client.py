"""HTTP client with keep-alive connections and precise failure reports.

Tornado's own client opens a connection for each call and doesn't distinguish
a request that was never sent from one whose response was lost.
"""

from __future__ import annotations

import asyncio
import collections
import time
from typing import TYPE_CHECKING

from tornado.httputil import HTTPInputError
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from yuccapoint.connection.response_reader import ResponseReader
from yuccapoint.connection.transfer import Transfer
from yuccapoint.exceptions import UnreachableError
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    from tornado.iostream import IOStream

    from yuccapoint.connection.http_response import HttpResponse

MAX_IDLE_CONNECTIONS = 8
# The peer may close a connection that is idle for longer.
MAX_IDLE_S = 20.0
# A call that is unanswered for this long after its response was due, in
# seconds, makes the other connections suspect; usual times are milliseconds.
OVERDUE_AFTER_S = 0.4


class NotSentError(UnreachableError):
    """The request was not sent."""

    verdict = Verdict.NOT_RUN


class ResponseLostError(UnreachableError):
    """The request was sent, but no complete response came."""

    verdict = Verdict.MAY_HAVE_RUN


class IdleConnection:
    """An open connection without a request."""

    __slots__ = ("answered_at_s", "stream")

    def __init__(self, stream: IOStream, answered_at_s: float) -> None:
        self.stream = stream
        self.answered_at_s = answered_at_s


class HttpClient:
    """Calls one address over keep-alive connections.

    Connections may fall silent without being closed, several at a time. Once
    a call is overdue, a connection is reused only if it has delivered a
    response since that call's response was due.

    Parameters
    ----------
    address : str
        IP number and port.
    """

    def __init__(self, address: str) -> None:
        self.connections_opened = 0
        self._set_address(address)
        self._connector = TCPClient()
        self._idle: collections.deque[IdleConnection] = collections.deque()
        # The calls in flight.
        self._transfers: dict[IOStream, Transfer] = {}

    def move(self, address: str) -> None:
        """Send later requests to another address.

        Calls in flight keep their connections until they end.

        Raises
        ------
        ValueError
            The address has no port; the former one is kept.
        """
        self._set_address(address)
        self.close()

    def _set_address(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._port = int(port)
        self._host = host
        self.address = address

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout_s: float,
        wait_s: float = 0.0,
        stall_timeout_s: float = 0.0,
        headers: dict[str, str] | None = None,
    ) -> HttpResponse:
        """Send a request and return its response.

        Parameters
        ----------
        method, target : str
            Method and path with query.
        body : bytes
            Body of the request.
        timeout_s : float
            Timeout of the whole call in seconds.
        wait_s : float, optional
            How long the peer may hold a long poll, in seconds.
        stall_timeout_s : float, optional
            Lets a call whose response has begun go on beyond its timeout
            while parts of the body arrive within this time, in seconds: the
            time for a large one depends on the link.
        headers : dict, optional
            Additional headers.

        Raises
        ------
        NotSentError
            The request was not sent.
        ResponseLostError
            The peer may have executed the request.
        """
        deadline_s = time.monotonic() + timeout_s
        address = self.address
        head = self._encode_head(method, target, len(body), headers or {})
        stream = await self._connect(deadline_s)
        reusable = False
        now_s = time.monotonic()
        transfer = Transfer(now_s, wait_s, max(now_s + 0.001, deadline_s))
        self._transfers[stream] = transfer
        try:
            response, reusable = await self._exchange(
                stream, head + body, transfer, stall_timeout_s
            )
        except (
            HTTPInputError,
            OSError,
            StreamClosedError,
            TimeoutError,
            ValueError,
        ) as error:
            text = f"no response from {self.address}: {error!r}"
            if isinstance(error, TimeoutError):
                closed = self._close_suspects(stream)
                text = (
                    f"{text} {transfer.describe(time.monotonic())};"
                    f" {len(self._transfers) - 1} other calls;"
                    f" closed {closed} idle connections"
                )
            raise ResponseLostError(text) from None
        except asyncio.CancelledError:
            self._close_suspects(stream)
            raise
        finally:
            del self._transfers[stream]
            # The next request on this connection would read the rest of an
            # abandoned response as its own.
            if not reusable or address != self.address:
                stream.close()
        if address != self.address:
            return response
        self._idle.append(IdleConnection(stream, time.monotonic()))
        if len(self._idle) > MAX_IDLE_CONNECTIONS:
            self._idle.popleft().stream.close()
        return response

    def _encode_head(
        self,
        method: str,
        target: str,
        body_bytes: int,
        headers: dict[str, str],
    ) -> bytes:
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Content-Length: {body_bytes}",
        ]
        for name, value in {"Host": self.address, **headers}.items():
            lines.append(f"{name}: {value}")
        try:
            return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        except UnicodeEncodeError as error:
            raise NotSentError(
                f"can't send the request to {self.address}: {error}"
            ) from None

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().stream.close()

    def _close_suspects(self, unanswered: IOStream) -> int:
        """Close connections that may be as silent as one without response.

        Returns
        -------
        int
            How many were closed.
        """
        due_at_s = self._transfers[unanswered].due_at_s
        if time.monotonic() - due_at_s < OVERDUE_AFTER_S:
            return 0
        return self._close_idle(due_at_s)

    def _close_idle(self, answered_until_s: float) -> int:
        closed = 0
        while self._idle and self._idle[0].answered_at_s <= answered_until_s:
            self._idle.popleft().stream.close()
            closed += 1
        return closed

    def _reuse_idle(self, now_s: float) -> IOStream | None:
        self._close_idle(now_s - MAX_IDLE_S)
        # An overdue call may still be answered, and show that the others are
        # only slow.
        overdue_s = now_s - OVERDUE_AFTER_S
        suspect_s = max(
            (
                transfer.due_at_s
                for transfer in self._transfers.values()
                if transfer.due_at_s < overdue_s
            ),
            default=0.0,
        )
        while self._idle and self._idle[-1].answered_at_s > suspect_s:
            stream = self._idle.pop().stream
            if not stream.closed():
                return stream
        return None

    async def _connect(self, deadline_s: float) -> IOStream:
        now_s = time.monotonic()
        idle = self._reuse_idle(now_s)
        if idle is not None:
            return idle
        left_s = max(0.001, deadline_s - now_s)
        try:
            async with asyncio.timeout(left_s):
                stream = await self._connector.connect(self._host, self._port)
        except (
            OSError,
            OverflowError,
            StreamClosedError,
            TimeoutError,
            ValueError,
        ) as error:
            # Resolving an address that can't be one raises ValueError or
            # OverflowError.
            raise NotSentError(
                f"can't connect to {self.address}: {error!r}"
            ) from None
        stream.set_nodelay(True)
        self.connections_opened += 1
        return stream

    async def _exchange(
        self,
        stream: IOStream,
        request: bytes,
        transfer: Transfer,
        stall_timeout_s: float,
    ) -> tuple[HttpResponse, bool]:
        left_s = transfer.deadline_s - time.monotonic()
        async with asyncio.timeout(left_s) as scope:
            await stream.write(request)
            reader = ResponseReader(stream, transfer, stall_timeout_s, scope)
            return await reader.read()
