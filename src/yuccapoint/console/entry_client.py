"""Calls the operators' port of an entry from the command line."""

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
from yuccapoint.exceptions import UnreachableError
from yuccapoint.process.operator_messages import EditAnswer
from yuccapoint.process.operator_messages import Fault
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

REQUEST_TIMEOUT_S = 10.0
STATUS_CONFLICT = 409
NO_TIMEOUT_S = 0.0
ResponseT = TypeVar("ResponseT")


class EntryClient:
    """One entry's operators' port.

    Parameters
    ----------
    address : str
        IP number and port, or an URL with a scheme.
    token : str
        Operator's token; empty for none.
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
        kind: type[ResponseT],
        body: msgspec.Struct | None = None,
    ) -> ResponseT:
        """Call the entry and decode its answer.

        Raises
        ------
        UnreachableError
            The entry does not answer.
        RefusedError
            The entry refused.
        """
        data = None if body is None else msgspec.json.encode(body)
        answer = asyncio.run(self._fetch(method, path, data))
        try:
            return msgspec.json.decode(answer, type=kind)
        except msgspec.DecodeError as error:
            raise CommandError(f"the entry's answer: {error}") from None

    def stream(self, path: str, on_data: Callable[[bytes], None]) -> None:
        """Pass a streamed answer on as it comes, until it ends."""
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
            raise UnreachableError(f"the entry is gone: {error}") from None

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
            answer = await AsyncHTTPClient().fetch(request)
        except HTTPClientError as error:
            if error.response is None or error.code == 599:
                raise self._unreachable_error(error) from None
            raise _refused_error(error.code, error.response.body) from None
        except (OSError, ValueError) as error:
            raise self._unreachable_error(error) from None
        return answer.body

    def _unreachable_error(self, error: BaseException) -> UnreachableError:
        return UnreachableError(f"no entry answers at {self._url}: {error}")


def _conflict_text(answer: EditAnswer) -> str:
    found = answer.route or answer.pool
    if found is None:
        return answer.refusal
    row = msgspec.json.encode(found.row).decode()
    return f"{answer.refusal}; the row is now {row}"


def _refused_error(code: int, body: bytes) -> CommandError:
    if code == STATUS_CONFLICT:
        try:
            answer = msgspec.json.decode(body, type=EditAnswer)
            return RefusedError(_conflict_text(answer))
        except msgspec.DecodeError:
            pass
    try:
        fault = msgspec.json.decode(body, type=Fault)
    except msgspec.DecodeError:
        return RefusedError(f"the entry answered {code}")
    return RefusedError(fault.error, Verdict(fault.verdict))
