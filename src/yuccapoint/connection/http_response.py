"""A response to an HTTP call."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders


class HttpResponse:
    """A complete response."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body
