"""HTTP exchange with a process's request handlers, without sockets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders
from tornado.httputil import RequestStartLine

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httputil import HTTPServerConnectionDelegate
    from tornado.httputil import ResponseStartLine

    from fuzzing.members import Member
    from yuccapoint.job.job import Job
    from yuccapoint.process.operator_messages import EditBody


class Exchange:
    """A request and the response that its caller received.

    It replaces tornado's HTTP connection.
    """

    context = None

    def __init__(self, name: str, method: str, path: str, body: bytes) -> None:
        self.name = name
        self.member: Member | None = None
        self.job: Job | None = None
        self.edit: EditBody | None = None
        self.row_name = ""
        self.is_service_request = False
        self.at_most_once = False
        self.key = ""
        self.request_body = body
        self.status = 0
        self.headers = HTTPHeaders()
        self.body = b""
        self.finished = False
        self.broken = False
        self.stream = self
        self._line = RequestStartLine(method, path, "HTTP/1.1")

    def send(
        self, delegate: HTTPServerConnectionDelegate, headers: HTTPHeaders
    ) -> None:
        headers.add("Content-Length", str(len(self.request_body)))
        headers.add("Host", "entry")
        headers.add("X-Request-Name", self.name)
        request = delegate.start_request(object(), self)
        request.headers_received(self._line, headers)
        for part in (self.request_body[:5], self.request_body[5:]):
            if part:
                request.data_received(part)
        request.finish()

    @property
    def verdict(self) -> str:
        """The verdict in the response headers, empty if there is none."""
        return str(self.headers.get("Yuccapoint-Verdict", ""))

    def write_headers(
        self,
        start_line: ResponseStartLine,
        headers: HTTPHeaders,
        chunk: bytes | None = None,
    ) -> asyncio.Future[None]:
        self.status = start_line.code
        self.headers = headers
        return self.write(chunk or b"")

    def write(self, chunk: bytes) -> asyncio.Future[None]:
        self.body += chunk
        done = asyncio.get_event_loop().create_future()
        done.set_result(None)
        return done

    def finish(self) -> None:
        self.finished = not self.broken

    def close(self) -> None:
        """Abort the response."""
        self.broken = not self.finished

    def set_close_callback(self, callback: Callable[[], None] | None) -> None:
        del callback
