"""HTTP client of an entry's operator port."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest

from yuccapoint.console.exceptions import CommandError
from yuccapoint.console.exceptions import RefusedError
from yuccapoint.decoding import decode_json
from yuccapoint.exceptions import DecodingError
from yuccapoint.exceptions import UnreachableError
from yuccapoint.process.operator_messages import EditAnswer
from yuccapoint.process.operator_messages import ErrorBody
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

REQUEST_TIMEOUT_S = 10.0
STATUS_CONFLICT = 409
NO_TIMEOUT_S = 0.0
ResponseT = TypeVar("ResponseT")


class EntryClient:
    """Client of the operator port of one entry.

    Parameters
    ----------
    address : str
        IP address and port, or a URL with a scheme.
    token : str
        Operator's token; empty to send none.
    """

    def __init__(self, address: str, token: str) -> None:
        scheme = "" if "://" in address else "http://"
        self._url = f"{scheme}{address}"
        self._headers: dict[str, str] = {}
        if token:
            self._headers["Authorization"] = f"Bearer {token}"

    def call(
        self,
        method: str,
        path: str,
        response_type: type[ResponseT],
        body: msgspec.Struct | None = None,
    ) -> ResponseT:
        """Send a request to the entry and decode its response.

        Raises
        ------
        UnreachableError
            The entry does not respond.
        RefusedError
            The entry refused the request.
        CommandError
            The response can't be decoded.
        """
        data = None if body is None else msgspec.json.encode(body)
        response = asyncio.run(self._fetch(method, path, data))
        try:
            return decode_json(response, response_type)
        except DecodingError as error:
            raise CommandError(
                f"can't decode the entry's response: {error}"
            ) from None

    def stream(self, path: str, on_data: Callable[[bytes], None]) -> None:
        """Pass on a streamed response as it arrives, until it ends."""
        asyncio.run(self._stream(path, on_data))

    async def _stream(
        self, path: str, on_data: Callable[[bytes], None]
    ) -> None:
        request = HTTPRequest(
            self._url + path,
            headers=self._headers,
            streaming_callback=on_data,
            request_timeout=NO_TIMEOUT_S,
        )
        try:
            await AsyncHTTPClient().fetch(request)
        except (HTTPClientError, OSError) as error:
            raise UnreachableError(
                f"the connection to the entry failed: {error}"
            ) from None

    async def _fetch(
        self, method: str, path: str, data: bytes | None
    ) -> bytes:
        request = HTTPRequest(
            self._url + path,
            method=method,
            headers=self._headers,
            body=data,
            request_timeout=REQUEST_TIMEOUT_S,
            allow_nonstandard_methods=True,
        )
        try:
            http_response = await AsyncHTTPClient().fetch(request)
        except HTTPClientError as error:
            if error.response is None or error.code == 599:
                raise self._unreachable_error(error) from None
            raise _refused_error(error.code, error.response.body) from None
        except (OSError, ValueError) as error:
            raise self._unreachable_error(error) from None
        return http_response.body

    def _unreachable_error(self, error: BaseException) -> UnreachableError:
        return UnreachableError(f"no entry answers at {self._url}: {error}")


def _conflict_text(answer: EditAnswer) -> str:
    current = answer.route or answer.pool
    if current is None:
        return answer.refusal
    row = msgspec.json.encode(current.row).decode()
    return f"{answer.refusal}; the row is now {row}"


def _refused_error(code: int, body: bytes) -> CommandError:
    if code == STATUS_CONFLICT:
        try:
            answer = decode_json(body, EditAnswer)
            return RefusedError(_conflict_text(answer))
        except DecodingError:
            pass
    try:
        fault = decode_json(body, ErrorBody)
    except DecodingError:
        return RefusedError(f"the entry answered {code}")
    return RefusedError(fault.error, Verdict(fault.verdict))
