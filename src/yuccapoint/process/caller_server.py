"""HTTP port of an entry for callers."""

from __future__ import annotations

import asyncio
import math
import time
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPInputError
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import HTTPOutputError
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError

from yuccapoint.decoding import parse_number
from yuccapoint.exceptions import YuccapointError
from yuccapoint.request.exceptions import BadRequestError
from yuccapoint.request.exceptions import EndpointFailedError
from yuccapoint.request.exceptions import NoRouteError
from yuccapoint.request.exceptions import OverloadedError
from yuccapoint.request.exceptions import RequestCancelledError
from yuccapoint.request.exceptions import RequestError
from yuccapoint.request.exceptions import TooLargeError
from yuccapoint.request.header import end_to_end_headers
from yuccapoint.request.header import Header
from yuccapoint.request.service_request import ServiceRequest
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from tornado.httputil import HTTPConnection
    from tornado.httputil import RequestStartLine

    from yuccapoint.process.entry_process import EntryProcess
    from yuccapoint.process.forwarded_response import ForwardedResponse

VERDICT_HEADER = "Yuccapoint-Verdict"
REASON_HEADER = "Yuccapoint-Reason"
REQUEST_HEADER = "Yuccapoint-Request"
CUSTOMER_HEADER = "Yuccapoint-Customer"
KEY_HEADER = "Idempotency-Key"
TIMEOUT_HEADER = "Yuccapoint-Timeout-S"
BODYLESS_STATUSES = (204, 304)
MAX_RETRY_AFTER_S = 3_600.0
INCOMPLETE_RESPONSE_ERRORS = (
    HTTPInputError,
    HTTPOutputError,
    TimeoutError,
)


class CallerServer(HTTPServerConnectionDelegate):
    """Creates a delegate for each request on the callers' port."""

    def __init__(self, entry: EntryProcess) -> None:
        self._entry = entry

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate of a new request."""
        del server_conn
        return CallerRequest(self._entry, request_conn)


class CallerRequest(HTTPMessageDelegate):
    """One caller's request and the answer to it."""

    def __init__(
        self, entry: EntryProcess, connection: HTTPConnection
    ) -> None:
        self._entry = entry
        self._connection = connection
        self._request: ServiceRequest | None = None
        self._method = ""
        self._is_http_1_0 = False
        self._size_bytes = 0
        self._responded = False
        self._admitted = False
        self._customer = ""
        self._task: asyncio.Task[None] | None = None

    def headers_received(
        self, start_line: object, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Validate and admit the request before its body is read."""
        line: RequestStartLine = start_line  # type: ignore[assignment]
        self._method = line.method
        self._is_http_1_0 = line.version == "HTTP/1.0"
        try:
            self._request = self._admit(line, headers)
        except RequestError as error:
            self._refuse(error)
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Buffer a chunk of the body."""
        if self._request is None or self._responded:
            return None
        self._size_bytes += len(chunk)
        if self._size_bytes > self._entry.max_body_bytes:
            self._refuse(self._too_large())
            return None
        self._request.body_chunks.append(chunk)
        return None

    def finish(self) -> None:
        """Serve the request after its body is complete."""
        if self._request is None or self._responded:
            return
        self._task = asyncio.ensure_future(self._serve(self._request))

    def on_connection_close(self) -> None:
        """Cancel the request after the caller closed the connection."""
        if self._task is not None:
            self._task.cancel()
        self._leave()

    def _admit(
        self, line: RequestStartLine, headers: HTTPHeaders
    ) -> ServiceRequest:
        entry = self._entry
        path = line.path.partition("?")[0]
        version = entry.cell.tables.current
        route = version.match(path)
        if route is None:
            raise NoRouteError(f"no route matches {path}")
        customer = entry.authenticator.authenticate_customer(
            headers, CUSTOMER_HEADER
        )
        if entry.stopping:
            raise OverloadedError("the entry is stopping", retry_after_s=1.0)
        length = content_length(headers)
        if length is not None and length > entry.max_body_bytes:
            raise self._too_large()
        received = [Header(name, value) for name, value in headers.get_all()]
        request = ServiceRequest(
            entry.next_request_id(),
            route,
            customer,
            line.method,
            line.path,
            end_to_end_headers(received),
            time.monotonic(),
        )
        request.key = headers.get(KEY_HEADER, "")
        self._apply_timeout(request, headers)
        now_s = request.started_s
        entry.customer_rate_limiter.consume(
            request.scope,
            route.customer_requests_per_s,
            entry.router.entry_count,
            now_s,
        )
        entry.in_flight_limit.acquire(customer)
        self._admitted = True
        self._customer = customer
        return request

    def _apply_timeout(
        self, request: ServiceRequest, headers: HTTPHeaders
    ) -> None:
        requested = headers.get(TIMEOUT_HEADER)
        if requested is None:
            return
        try:
            timeout_s = float(requested)
        except ValueError:
            timeout_s = math.nan
        if not 0 < timeout_s < math.inf:
            raise BadRequestError(
                f"{TIMEOUT_HEADER} must be a number of seconds above 0"
            )
        request.deadline_s = min(
            request.deadline_s, request.started_s + timeout_s
        )

    def _too_large(self) -> TooLargeError:
        limit = self._entry.max_body_bytes
        return TooLargeError(f"the body is larger than {limit} bytes")

    async def _serve(self, request: ServiceRequest) -> None:
        key_claimed = False
        try:
            await self._entry.request_keys.claim(request)
            key_claimed = True
            forwarded = await self._entry.forwarder.forward(request)
        except RequestError as error:
            await self._entry.request_keys.release(request, error)
            self._refuse(error)
            return
        except YuccapointError as error:
            self._refuse(RequestError(str(error), error.verdict))
            return
        except asyncio.CancelledError:
            if not key_claimed:
                cancelled = RequestCancelledError(
                    "the caller closed the connection"
                )
                await self._entry.request_keys.release(request, cancelled)
            raise
        finally:
            request.body_chunks.clear()
        try:
            async with asyncio.timeout(request.deadline_s - time.monotonic()):
                await self._send_response(forwarded, request)
        except RequestError as error:
            if self._responded:
                self._abort()
            self._refuse(error)
        except INCOMPLETE_RESPONSE_ERRORS:
            self._abort()
        except StreamClosedError:
            pass
        finally:
            forwarded.close()
            self._leave()

    async def _send_response(
        self, forwarded: ForwardedResponse, request: ServiceRequest
    ) -> None:
        head = forwarded.head
        headers = HTTPHeaders()
        for header in head.headers:
            headers.add(header.name, header.value)
        headers[VERDICT_HEADER] = Verdict.RAN.value
        headers[REQUEST_HEADER] = request.request_id
        self._announce_close(headers)
        bodyless = self._method == "HEAD" or head.status in BODYLESS_STATUSES
        if head.last and not bodyless and "Content-Length" not in headers:
            headers["Content-Length"] = str(len(head.body))
        if (
            not head.last
            and "Content-Length" not in headers
            and self._is_http_1_0
        ):
            raise EndpointFailedError(
                "an HTTP/1.0 caller can't detect a truncated answer",
                Verdict.RAN,
            )
        line = ResponseStartLine("HTTP/1.1", head.status, head.reason)
        self._responded = True
        if bodyless:
            self._connection.write_headers(line, headers)
        else:
            await self._connection.write_headers(line, headers, head.body)
            if not head.last:
                await self._stream_body(forwarded)
        self._connection.finish()
        forwarded.complete()
        duration_s = time.monotonic() - request.started_s
        self._entry.metrics.observe_latency(duration_s)
        self._entry.metrics.count(
            "answers", route=request.route.name, status=str(head.status)
        )

    async def _stream_body(self, forwarded: ForwardedResponse) -> None:
        while True:
            chunk = await forwarded.next_chunk()
            if chunk.data:
                await self._connection.write(chunk.data)
            if chunk.last:
                return

    def _refuse(self, error: RequestError) -> None:
        self._leave()
        if self._responded:
            return
        self._responded = True
        text = f"{error}\n".encode()
        headers = HTTPHeaders(
            {
                VERDICT_HEADER: error.verdict.value,
                REASON_HEADER: type(error).__name__,
                "Content-Type": "text/plain; charset=utf-8",
                "Content-Length": str(len(text)),
            }
        )
        if 0 < error.retry_after_s < MAX_RETRY_AFTER_S:
            headers["Retry-After"] = str(int(error.retry_after_s) + 1)
        self._announce_close(headers)
        if self._method == "HEAD":
            text = b""
        self._entry.metrics.count(
            "refusals", verdict=error.verdict.value, status=str(error.status)
        )
        self._entry.logger.log(
            "caller", f"request refused: {error}", verdict=error.verdict.value
        )
        line = ResponseStartLine("HTTP/1.1", error.status, "Refused")
        try:
            self._connection.write_headers(line, headers, text)
            self._connection.finish()
        except StreamClosedError:
            return

    def _announce_close(self, headers: HTTPHeaders) -> None:
        """Have callers send later requests to another entry."""
        if self._entry.leaving:
            headers["Connection"] = "close"

    def _abort(self) -> None:
        self._entry.metrics.count("broken_answers")
        stream = getattr(self._connection, "stream", None)
        if stream is not None:
            stream.close()

    def _leave(self) -> None:
        if not self._admitted:
            return
        self._admitted = False
        self._entry.in_flight_limit.release(self._customer)


def content_length(headers: HTTPHeaders) -> int | None:
    """Return the length that a request announces, or None."""
    return parse_number(headers.get("Content-Length", "0"))
