"""Calls an endpoint over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPHeaders
from tornado.simple_httpclient import HTTPStreamClosedError
from tornado.simple_httpclient import HTTPTimeoutError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from yuccapoint.request.exceptions import EndpointFailedError
from yuccapoint.request.header import end_to_end
from yuccapoint.request.header import Header
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httpclient import HTTPResponse

CONNECT_TIMEOUT_S = 1.0
MAX_CLIENTS = 10_000
MAX_ANSWER_BYTES = 1 << 30
BODY_METHODS = ("POST", "PUT", "PATCH")


class EndpointAnswer:
    """Status and headers of an endpoint's answer."""

    __slots__ = ("headers", "reason", "status")

    def __init__(
        self, status: int, reason: str, headers: list[Header]
    ) -> None:
        self.status = status
        self.reason = reason
        self.headers = headers


class EndpointClient:
    """Calls the endpoints beside the agent."""

    def __init__(self) -> None:
        self._client = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
            max_body_size=MAX_ANSWER_BYTES,
        )

    async def call(
        self,
        address: str,
        method: str,
        target: str,
        headers: list[Header],
        body: bytes,
        timeout_s: float,
        on_chunk: Callable[[bytes], None],
    ) -> EndpointAnswer:
        """Call an endpoint; its body goes to ``on_chunk`` as it comes.

        Raises
        ------
        EndpointFailedError
            No whole answer came; the verdict says whether it may have run.
        """
        sent = HTTPHeaders()
        for header in headers:
            sent.add(header.name, header.value)
        has_body = bool(body) or method in BODY_METHODS
        request = HTTPRequest(
            f"http://{address}{target}",
            method=method,
            headers=sent,
            body=body if has_body else None,
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
            streaming_callback=on_chunk,
        )
        try:
            answer = await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError, ValueError) as error:
            raise _failure(error) from None
        failed = answer.error is not None and not answer.headers
        if failed and answer.error is not None:
            raise _failure(answer.error)
        return _answer(answer)

    def close(self) -> None:
        """Drop the connections."""
        self._client.close()


def _answer(answer: HTTPResponse) -> EndpointAnswer:
    listed = [Header(name, value) for name, value in answer.headers.get_all()]
    return EndpointAnswer(answer.code, answer.reason or "", end_to_end(listed))


def _failure(error: BaseException) -> EndpointFailedError:
    text = f"the endpoint failed: {error}"
    if isinstance(error, ConnectionRefusedError):
        return EndpointFailedError(text, Verdict.NOT_RUN)
    if isinstance(error, HTTPTimeoutError) and "connect" in str(error):
        return EndpointFailedError(text, Verdict.NOT_RUN)
    if isinstance(error, HTTPStreamClosedError):
        return EndpointFailedError(text, Verdict.MAY_HAVE_RUN)
    return EndpointFailedError(text, Verdict.MAY_HAVE_RUN)
