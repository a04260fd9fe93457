"""What callers of the users' platform speak, and the ready check."""

from __future__ import annotations

import asyncio
import re
import time
from typing import TYPE_CHECKING

import msgspec
from tornado.httpserver import HTTPServer

from yuccapoint.cell.exceptions import InvalidJobError
from yuccapoint.cell.job_gateway import GatewayResult
from yuccapoint.exceptions import YuccapointError
from yuccapoint.platform.exceptions import DamagedMessageError
from yuccapoint.platform.http_answer import send_answer
from yuccapoint.platform.job_body import decode_job
from yuccapoint.process.steady_clock import wall_ms

if TYPE_CHECKING:
    from tornado.httputil import HTTPServerRequest

    from yuccapoint.cell.job_gateway import JobGateway
    from yuccapoint.version.queue_table import QueueRoute

JOB_ID = re.compile(r"[0-9a-fA-F]{16}\Z")
# How long callers wait, in milliseconds; also the default without it.
DEADLINE_HEADER = "Yuccapoint-Deadline-Ms"
DEFAULT_DEADLINE_MS = 3_000
READY_PATH = "/yuccapoint/readyz"
# Kept for the way of an answer to its caller, in seconds.
ANSWER_MARGIN_S = 0.15
_VERDICT_STATUSES = {
    GatewayResult.ACCEPTED: 200,
    GatewayResult.UNKNOWN_JOB: 410,
    GatewayResult.REFUSED: 503,
    GatewayResult.MAY_BE_ACCEPTED: 504,
}


class Answer:
    """An answer to a caller."""

    __slots__ = ("body", "retry_after_s", "status")

    def __init__(
        self, status: int, body: object = None, retry_after_s: int = 0
    ) -> None:
        self.status = status
        self.body = body
        self.retry_after_s = retry_after_s


class Front:
    """Serves callers and the platform's ready checks.

    Parameters
    ----------
    desk : JobDesk
        Takes jobs and knows their states.

    Attributes
    ----------
    in_flight : int
        Requests that are not answered yet.
    called_at_s : float
        Monotonic time of the last request.
    """

    def __init__(self, desk: JobGateway) -> None:
        self.in_flight = 0
        self.called_at_s = 0.0
        self._desk = desk
        self._front = HTTPServer(self._on_call)
        self._ready = HTTPServer(self._on_ready_check)

    def listen(self, front: str, ready: str) -> None:
        """Listen on two addresses; they may be one."""
        host, _, port = front.rpartition(":")
        self._front.listen(int(port), host)
        if ready != front:
            host, _, port = ready.rpartition(":")
            self._ready.listen(int(port), host)

    def stop_listening(self) -> None:
        """Take no new connections; open ones go on."""
        self._front.stop()

    def _on_ready_check(self, request: HTTPServerRequest) -> None:
        if request.path == READY_PATH:
            self._send(request, Answer(200 if self._desk.ready else 503))
            return
        self._send(request, Answer(404))

    def _on_call(self, request: HTTPServerRequest) -> None:
        if request.path == READY_PATH:
            self._on_ready_check(request)
            return
        self.in_flight += 1
        self.called_at_s = time.monotonic()
        asyncio.ensure_future(self._serve(request))

    async def _serve(self, request: HTTPServerRequest) -> None:
        try:
            try:
                answer = await self._answer(request)
            except Exception as error:  # noqa: BLE001
                # A fault of ours must not leave the caller without an answer.
                self._desk.log_fault(request.path, repr(error))
                answer = Answer(500)
            self._send(request, answer)
        finally:
            self.in_flight -= 1

    async def _answer(self, request: HTTPServerRequest) -> Answer:
        table = self._desk.table
        if table is None:
            return Answer(503, retry_after_s=1)
        route = table.find(request.host, request.path)
        if route is None:
            return Answer(404)
        if len(request.body) > table.max_body_bytes:
            return Answer(413)
        rest = request.path[len(route.path_prefix) :]
        if not rest and request.method == "GET":
            return self._count(route)
        if not JOB_ID.match(rest):
            return Answer(404 if request.method == "GET" else 400)
        deadline_s = _deadline_s(request)
        if request.method == "POST":
            return await self._submit(route, rest, request.body, deadline_s)
        if request.method == "GET":
            return await self._state(route, rest)
        if request.method == "DELETE":
            verdict = await self._desk.cancel(
                route.rules.route, rest, deadline_s
            )
            return self._verdict_answer(verdict)
        return Answer(405)

    async def _submit(
        self, route: QueueRoute, job_id: str, body: bytes, deadline_s: float
    ) -> Answer:
        try:
            submission = decode_job(body, job_id, route.rules, wall_ms())
        except (DamagedMessageError, InvalidJobError) as error:
            self._desk.log_invalid_job(job_id, str(error))
            return Answer(400, {"Error": str(error)})
        return self._verdict_answer(
            await self._desk.submit(submission, deadline_s)
        )

    def _verdict_answer(self, verdict: GatewayResult) -> Answer:
        retry_after_s = 0
        if verdict is GatewayResult.REFUSED:
            retry_after_s = self._desk.retry_after_s
        return Answer(_VERDICT_STATUSES[verdict], None, retry_after_s)

    async def _state(self, route: QueueRoute, job_id: str) -> Answer:
        try:
            state = await self._desk.state(route.rules.route, job_id)
        except YuccapointError:
            # The desk has said why.
            return Answer(503, retry_after_s=self._desk.retry_after_s)
        return Answer(410) if state is None else Answer(200, {"State": state})

    def _count(self, route: QueueRoute) -> Answer:
        if not self._desk.up_to_date:
            return Answer(503, retry_after_s=1)
        pending = self._desk.count_pending(route.rules.route)
        return Answer(200, {"Pending": pending})

    def _send(self, request: HTTPServerRequest, answer: Answer) -> None:
        body = b""
        headers = {}
        if answer.body is not None:
            body = msgspec.json.encode(answer.body)
            headers["Content-Type"] = "application/json"
        if answer.retry_after_s:
            headers["Retry-After"] = str(answer.retry_after_s)
        if self._desk.stopping:
            headers["Connection"] = "close"
        if not send_answer(request, answer.status, body, headers):
            self._desk.log_caller_gone(request.path, answer.status)


def _deadline_s(request: HTTPServerRequest) -> float:
    text = request.headers.get(DEADLINE_HEADER, "")
    wait_ms = int(text) if text.isdigit() else DEFAULT_DEADLINE_MS
    return time.monotonic() + wait_ms / 1000 - ANSWER_MARGIN_S
