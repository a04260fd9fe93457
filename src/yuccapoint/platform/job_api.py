"""HTTP API for the callers of the users' platform, and its readiness check."""

from __future__ import annotations

import asyncio
import re
import time
from typing import TYPE_CHECKING

import msgspec

from yuccapoint.cell.exceptions import InvalidJobError
from yuccapoint.cell.job_gateway import GatewayResult
from yuccapoint.connection.draining_http_server import DrainingHttpServer
from yuccapoint.decoding import parse_number
from yuccapoint.exceptions import YuccapointError
from yuccapoint.platform.exceptions import MalformedMessageError
from yuccapoint.platform.http_response import send_response
from yuccapoint.platform.job_body import decode_job
from yuccapoint.process.steady_clock import wall_ms

if TYPE_CHECKING:
    from tornado.httputil import HTTPServerRequest

    from yuccapoint.cell.job_gateway import JobGateway
    from yuccapoint.version.queue_table import QueueRoute

JOB_ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}\Z")
# Caller's timeout in milliseconds; without the header the default applies.
DEADLINE_HEADER = "Yuccapoint-Deadline-Ms"
DEFAULT_DEADLINE_MS = 3_000
READY_PATH = "/yuccapoint/readyz"
# Reserved for the transfer of a response back to its caller.
RESPONSE_MARGIN_S = 0.15
_STATUS_BY_VERDICT = {
    GatewayResult.ACCEPTED: 200,
    GatewayResult.UNKNOWN_JOB: 410,
    GatewayResult.REFUSED: 503,
    GatewayResult.MAY_BE_ACCEPTED: 504,
    GatewayResult.ID_IN_USE: 409,
}


class JobApiResponse:
    """Status, JSON body and Retry-After of a response."""

    __slots__ = ("body", "retry_after_s", "status")

    def __init__(
        self, status: int, body: object = None, retry_after_s: int = 0
    ) -> None:
        self.status = status
        self.body = body
        self.retry_after_s = retry_after_s


class JobApi:
    """Serves callers and the platform's readiness checks.

    Parameters
    ----------
    gateway : JobGateway
        Accepts and cancels jobs and returns their states.

    Attributes
    ----------
    serves : bool
        Whether requests are served; all are refused at the end of a stop.
    """

    def __init__(self, gateway: JobGateway) -> None:
        self.serves = True
        self._gateway = gateway
        self._in_flight: set[asyncio.Task[None]] = set()
        self._job_server = DrainingHttpServer(self._on_request)
        self._ready_server = DrainingHttpServer(self._on_ready_check)

    @property
    def in_flight(self) -> int:
        """Number of requests without a response so far."""
        return len(self._in_flight)

    @property
    def open_connections(self) -> int:
        """Number of callers' connections that are open."""
        return self._job_server.open_connections

    def listen(self, job_address: str, ready_address: str) -> None:
        """Listen for callers and for readiness checks.

        Both addresses may be the same.
        """
        host, _, port = job_address.rpartition(":")
        self._job_server.listen(int(port), host)
        if ready_address != job_address:
            host, _, port = ready_address.rpartition(":")
            self._ready_server.listen(int(port), host)

    def stop_listening(self) -> None:
        """Accept no new connections; open ones are still served."""
        self._job_server.stop()

    def close_idle_connections(self) -> int:
        """Close connections without a request; return how many are left."""
        return self._job_server.close_idle_connections()

    def close_all_connections(self) -> None:
        """Close all connections at once."""
        self._job_server.close_at_once()

    def end_service(self) -> None:
        """Answer the requests in flight, and refuse those that follow."""
        self.serves = False
        for task in self._in_flight:
            task.cancel()

    def _on_ready_check(self, request: HTTPServerRequest) -> None:
        if request.path == READY_PATH:
            self._send(
                request,
                JobApiResponse(200 if self._gateway.ready else 503),
            )
            return
        self._send(request, JobApiResponse(404))

    def _on_request(self, request: HTTPServerRequest) -> None:
        if request.path == READY_PATH:
            self._on_ready_check(request)
            return
        if not self.serves:
            self._send(request, self._interrupted_response(request))
            return
        task = asyncio.ensure_future(self._serve(request))
        self._in_flight.add(task)
        task.add_done_callback(lambda task: self._on_served(request, task))

    def _on_served(
        self, request: HTTPServerRequest, task: asyncio.Task[None]
    ) -> None:
        self._in_flight.discard(task)
        # A task that is cancelled before its first step can't respond.
        if task.cancelled():
            self._send(request, self._interrupted_response(request))

    async def _serve(self, request: HTTPServerRequest) -> None:
        try:
            response = await self._respond(request)
        except Exception as error:  # noqa: BLE001
            # After an internal error the caller still gets a response.
            self._gateway.log_fault(request.path, repr(error))
            response = JobApiResponse(500)
        self._send(request, response)

    def _interrupted_response(
        self, request: HTTPServerRequest
    ) -> JobApiResponse:
        """Return the response to a request that the stop interrupts."""
        self._gateway.log_interrupted(request.path)
        if request.method == "GET":
            return JobApiResponse(503, retry_after_s=1)
        # The record, or an earlier copy of it, may have been stored.
        return self._verdict_response(GatewayResult.MAY_BE_ACCEPTED)

    async def _respond(self, request: HTTPServerRequest) -> JobApiResponse:
        table = self._gateway.table
        if table is None:
            return JobApiResponse(503, retry_after_s=1)
        route = table.find(request.host, request.path)
        if route is None:
            return JobApiResponse(404)
        if len(request.body) > table.max_body_bytes:
            return JobApiResponse(413)
        rest = request.path[len(route.path_prefix) :]
        if not rest and request.method == "GET":
            return self._pending_response(route)
        if not JOB_ID_PATTERN.match(rest):
            return JobApiResponse(404 if request.method == "GET" else 400)
        deadline_s = _deadline_s(request)
        if request.method == "POST":
            return await self._submit(route, rest, request.body, deadline_s)
        if request.method == "GET":
            return await self._state_response(route, rest, deadline_s)
        if request.method == "DELETE":
            verdict = await self._gateway.cancel(route, rest, deadline_s)
            return self._verdict_response(verdict)
        return JobApiResponse(405)

    async def _submit(
        self, route: QueueRoute, job_id: str, body: bytes, deadline_s: float
    ) -> JobApiResponse:
        try:
            submission = decode_job(
                body,
                job_id,
                route.rules,
                wall_ms(),
                route.address,
                route.config_version,
            )
        except (MalformedMessageError, InvalidJobError) as error:
            self._gateway.log_invalid_job(job_id, str(error))
            return JobApiResponse(400, {"Error": str(error)})
        verdict = await self._gateway.submit(submission, deadline_s)
        if verdict is GatewayResult.ID_IN_USE:
            return JobApiResponse(
                _STATUS_BY_VERDICT[verdict],
                {"Error": "the id belongs to a job of another queue"},
            )
        return self._verdict_response(verdict)

    def _verdict_response(self, verdict: GatewayResult) -> JobApiResponse:
        retry_after_s = 0
        if verdict is GatewayResult.REFUSED:
            retry_after_s = self._gateway.retry_after_s
        return JobApiResponse(_STATUS_BY_VERDICT[verdict], None, retry_after_s)

    async def _state_response(
        self, route: QueueRoute, job_id: str, deadline_s: float
    ) -> JobApiResponse:
        try:
            state = await self._gateway.state(route, job_id, deadline_s)
        except YuccapointError:
            # The gateway has logged the reason.
            return JobApiResponse(
                503, retry_after_s=self._gateway.retry_after_s
            )
        return (
            JobApiResponse(410)
            if state is None
            else JobApiResponse(200, {"State": state})
        )

    def _pending_response(self, route: QueueRoute) -> JobApiResponse:
        if not self._gateway.up_to_date:
            return JobApiResponse(503, retry_after_s=1)
        pending = self._gateway.count_pending(route)
        return JobApiResponse(200, {"Pending": pending})

    def _send(
        self, request: HTTPServerRequest, response: JobApiResponse
    ) -> None:
        body = b""
        headers = {}
        if response.body is not None:
            body = msgspec.json.encode(response.body)
            headers["Content-Type"] = "application/json"
        if response.retry_after_s:
            headers["Retry-After"] = str(response.retry_after_s)
        if self._gateway.stopping:
            headers["Connection"] = "close"
        if not send_response(request, response.status, body, headers):
            self._gateway.log_caller_gone(request.path, response.status)


def _deadline_s(request: HTTPServerRequest) -> float:
    text = request.headers.get(DEADLINE_HEADER, "")
    wait_ms = parse_number(text)
    if wait_ms is None:
        wait_ms = DEFAULT_DEADLINE_MS
    return time.monotonic() + wait_ms / 1000 - RESPONSE_MARGIN_S
