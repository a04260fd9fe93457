"""A request at an agent: admission, endpoint call and answer."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError

from yuccapoint.connection.frames import RequestFailed
from yuccapoint.connection.response_writer import ResponseWriter
from yuccapoint.request.admission import SlotRequest
from yuccapoint.request.endpoint_view import EndpointState
from yuccapoint.request.exceptions import DeadlinePassedError
from yuccapoint.request.exceptions import NoEndpointError
from yuccapoint.request.exceptions import OverloadedError
from yuccapoint.request.exceptions import RequestCancelledError
from yuccapoint.request.exceptions import RequestError
from yuccapoint.request.exceptions import TooLargeError
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    from yuccapoint.connection.frames import RequestChunk
    from yuccapoint.connection.frames import RequestHead
    from yuccapoint.process.endpoint_registry import LocalEndpoint
    from yuccapoint.process.request_server import ServedSession

DISPLACED_RETRY_S = 0.1


class ServedRequest:
    """Serves one request of a session."""

    def __init__(
        self, session: ServedSession, head: RequestHead, deadline_s: float
    ) -> None:
        self._session = session
        self._agent = session.agent
        self._head = head
        self._deadline_s = deadline_s
        self._parts = [head.body]
        self._size_bytes = len(head.body)
        self._body_complete = asyncio.Event()
        self._granted: asyncio.Future[None] | None = None
        self._started = False
        self._cancelled = False
        self._endpoint: LocalEndpoint | None = None
        self._writer = ResponseWriter(
            session.frames, head.request_id, self._load
        )
        if head.last:
            self._body_complete.set()

    @property
    def key(self) -> str:
        """Key of the request in the agent's queues."""
        return (
            f"{self._session.name}/{id(self._session)}/{self._head.request_id}"
        )

    def on_chunk(self, chunk: RequestChunk) -> None:
        """Buffer a chunk of the body."""
        self._size_bytes += len(chunk.data)
        if self._size_bytes <= self._agent.max_body_bytes:
            self._parts.append(chunk.data)
        if chunk.last:
            self._body_complete.set()

    def cancel(self) -> None:
        """Cancel the request; abandon its answer if it has started."""
        self._cancelled = True
        self._body_complete.set()
        if self._started:
            self._writer.cancel()
        if self._granted is not None and not self._granted.done():
            self._granted.cancel()

    def on_admitted(self) -> None:
        """Start the queued request on a free slot."""
        if self._granted is not None and not self._granted.done():
            self._granted.set_result(None)

    def on_expired(self) -> None:
        """Refuse the request, whose deadline passed in the queue."""
        if self._granted is not None and not self._granted.done():
            self._granted.set_exception(
                DeadlinePassedError("the deadline passed in the queue")
            )

    def on_displaced(self) -> None:
        """Refuse the request, displaced from the queue by a customer."""
        if self._granted is not None and not self._granted.done():
            self._granted.set_exception(
                OverloadedError(
                    "the customer's share of the queue is full",
                    retry_after_s=DISPLACED_RETRY_S,
                )
            )

    async def serve(self) -> None:
        """Serve the request and send the answer."""
        try:
            await self._run()
        except RequestError as error:
            self._refuse(error)
        except asyncio.CancelledError:
            verdict = Verdict.NOT_RUN
            if self._started:
                verdict = Verdict.MAY_HAVE_RUN
            self._refuse(RequestCancelledError("cancelled", verdict))

    def on_credit(self, chunks: int) -> None:
        """Continue to send the answer after a grant of credits."""
        self._writer.on_credit(chunks)

    async def _run(self) -> None:
        await self._wait_for_body()
        self._check()
        endpoint = self._find_endpoint()
        self._endpoint = endpoint
        await self._admit(endpoint)
        await self._call(endpoint)

    async def _wait_for_body(self) -> None:
        left_s = self._deadline_s - time.monotonic()
        try:
            await asyncio.wait_for(self._body_complete.wait(), left_s)
        except TimeoutError:
            self._agent.logger.log(
                "session",
                "the request's body is incomplete at its deadline",
                request=self.key,
                received_bytes=self._size_bytes,
            )
            raise DeadlinePassedError(
                "the deadline passed before the body was complete"
            ) from None

    def _check(self) -> None:
        if self._cancelled:
            raise RequestCancelledError("cancelled before it started")
        if self._size_bytes > self._agent.max_body_bytes:
            limit = self._agent.max_body_bytes
            raise TooLargeError(f"the body is larger than {limit} bytes")

    def _find_endpoint(self) -> LocalEndpoint:
        endpoint = self._agent.endpoints.find(self._head.endpoint)
        now_s = time.monotonic()
        if endpoint is None:
            raise NoEndpointError(
                "the endpoint is not registered at this agent"
            )
        state = self._agent.endpoints.state(
            endpoint, now_s, stopping=self._agent.stopping
        )
        if state is not EndpointState.READY:
            raise NoEndpointError(f"the endpoint is {state.value}")
        return endpoint

    async def _admit(self, endpoint: LocalEndpoint) -> None:
        ticket = SlotRequest(self.key, self._head.customer, self._deadline_s)
        if endpoint.admission.admit_or_queue(ticket, time.monotonic()):
            return
        self._granted = asyncio.get_running_loop().create_future()
        self._agent.queued_requests[self.key] = self
        self._agent.start_queued(endpoint)
        try:
            await self._granted
        except BaseException:
            if not endpoint.admission.cancel(self.key):
                endpoint.admission.finish(self.key, time.monotonic())
            raise
        finally:
            self._agent.queued_requests.pop(self.key, None)

    async def _call(self, endpoint: LocalEndpoint) -> None:
        try:
            self._check()
            if self._deadline_s <= time.monotonic():
                raise DeadlinePassedError("the deadline passed")
            self._started = True
            body = self._parts[0]
            if len(self._parts) > 1:
                body = b"".join(self._parts)
            self._parts.clear()
            await self._agent.client.call(
                endpoint.announcement.address,
                self._head.method,
                self._head.target,
                self._head.headers,
                body,
                self._deadline_s,
                self._writer.on_head,
                self._writer.on_chunk,
            )
        finally:
            endpoint.admission.finish(self.key, time.monotonic())
            self._agent.start_queued(endpoint)
        self._writer.finish()

    def _refuse(self, error: RequestError) -> None:
        self._agent.metrics.count("refusals", verdict=error.verdict.value)
        refused = RequestFailed(
            self._head.request_id,
            error.status,
            error.verdict.value,
            str(error),
            error.retry_after_s,
            self._load(),
            type(error).__name__,
        )
        with contextlib.suppress(StreamClosedError):
            self._session.frames.write(refused)

    def _load(self) -> int:
        if self._endpoint is None:
            return 0
        admission = self._endpoint.admission
        return len(admission.running) + admission.queued
