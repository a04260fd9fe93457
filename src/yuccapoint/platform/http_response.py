"""Sends HTTP responses on the platform's ports."""

from __future__ import annotations

import http
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError

if TYPE_CHECKING:
    from tornado.httputil import HTTPServerRequest


def send_response(
    request: HTTPServerRequest,
    status: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> bool:
    """Send a response; return False if the client closed the connection.

    Parameters
    ----------
    request : HTTPServerRequest
        Request to respond to.
    status : int
        HTTP status code.
    body : bytes
        Complete body.
    headers : dict, optional
        Headers other than Content-Length.
    """
    if request.connection is None:
        return False
    phrase = http.HTTPStatus(status).phrase
    start = ResponseStartLine("HTTP/1.1", status, phrase)
    sent = HTTPHeaders(headers or {})
    sent["Content-Length"] = str(len(body))
    try:
        request.connection.write_headers(start, sent, body)
        request.connection.finish()
    except StreamClosedError:
        return False
    return True
