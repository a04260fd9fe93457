"""Processor time of the path against a forwarder without decisions."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import msgspec
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.httputil import ResponseStartLine
from tornado.web import Application
from tornado.web import RequestHandler

from yuccapoint.connection.endpoint_client import EndpointClient
from yuccapoint.connection.frame_stream import FrameStream
from yuccapoint.request.header import end_to_end_headers
from yuccapoint.request.header import Header

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httputil import HTTPConnection
    from tornado.httputil import RequestStartLine

    from yuccapoint.connection.endpoint_client import EndpointResponse
    from yuccapoint.connection.frames import Frame

REQUESTS = 200
ROUNDS = 3
AT_ONCE = 8
BODY_BYTES = 1_000
MAX_CLIENTS = 200
TIMEOUT_S = 10.0


class PathFigures(msgspec.Struct, frozen=True):
    """Processor time of the hops between caller and endpoint.

    Attributes
    ----------
    path_cost_ratio : float
        Entry and agent against two forwarders that keep connections.
    stock_cost_ratio : float
        The same against two with tornado's web handler and stock client.
    direct_ms : float
        Caller and endpoint alone, which are taken off the others.
    session_bytes_ratio : float
        Bytes on the sessions against the bodies that they carried.
    """

    path_cost_ratio: float
    stock_cost_ratio: float
    path_ms: float
    kept_forwarders_ms: float
    stock_forwarders_ms: float
    direct_ms: float
    session_bytes_ratio: float


class StockHandler(RequestHandler):
    """Forwards with tornado's web handler and stock client."""

    def initialize(self, client: AsyncHTTPClient, address: str) -> None:
        """Take where to forward to."""
        self.client = client
        self.address = address

    async def post(self) -> None:
        """Forward."""
        answer = await self.client.fetch(
            HTTPRequest(
                f"http://{self.address}{self.request.uri}",
                method="POST",
                headers=self.request.headers,
                body=self.request.body,
                follow_redirects=False,
                decompress_response=False,
            ),
            raise_error=False,
        )
        self.set_status(answer.code)
        for name, value in answer.headers.get_all():
            if name not in ("Content-Length", "Transfer-Encoding"):
                self.add_header(name, value)
        self.finish(answer.body)


class KeptForwarder(HTTPServerConnectionDelegate):
    """Forwards with tornado's connections alone, which are kept."""

    def __init__(self, client: EndpointClient, address: str) -> None:
        self.client = client
        self.address = address

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Begin a request."""
        del server_conn
        return KeptRequest(self, request_conn)


class KeptRequest(HTTPMessageDelegate):
    """One request of the forwarder."""

    def __init__(
        self, forwarder: KeptForwarder, connection: HTTPConnection
    ) -> None:
        self._forwarder = forwarder
        self._connection = connection
        self._body: list[bytes] = []
        self._answer: list[bytes] = []

    def headers_received(self, start_line: object, headers: object) -> None:
        """Take the head."""
        self._line = start_line
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self._body.append(chunk)

    def finish(self) -> None:
        """Forward."""
        self._task = asyncio.ensure_future(self._forward())

    async def _forward(self) -> None:
        line: RequestStartLine = self._line  # type: ignore[assignment]
        headers: HTTPHeaders = self._headers  # type: ignore[assignment]
        await self._forwarder.client.call(
            self._forwarder.address,
            line.method,
            line.path,
            end_to_end_headers(
                [Header(name, value) for name, value in headers.get_all()]
            ),
            b"".join(self._body),
            time.monotonic() + TIMEOUT_S,
            self._on_head,
            self._answer.append,
        )
        body = b"".join(self._answer)
        answer = HTTPHeaders()
        for header in self._head.headers:
            answer.add(header.name, header.value)
        answer["Content-Length"] = str(len(body))
        start = ResponseStartLine("", self._head.status, self._head.reason)
        self._connection.write_headers(start, answer, body)
        self._connection.finish()

    def _on_head(self, head: EndpointResponse) -> None:
        self._head = head


class SessionCounter:
    """Counts the bytes that sessions write."""

    def __init__(self) -> None:
        self.written_bytes = 0
        self._write = FrameStream.write

    def __enter__(self) -> SessionCounter:
        """Begin to count."""
        setattr(FrameStream, "write", self._counted())  # noqa: B010
        return self

    def __exit__(self, *args: object) -> None:
        """End."""
        setattr(FrameStream, "write", self._write)  # noqa: B010

    def _counted(self) -> Callable[[FrameStream, Frame], asyncio.Future[None]]:
        def write(stream: FrameStream, frame: Frame) -> asyncio.Future[None]:
            self.written_bytes += len(msgspec.msgpack.encode(frame)) + 4
            return self._write(stream, frame)

        return write


async def measure_path(name: str, seed: int) -> PathFigures:
    """Send the same requests over the path and over two forwarders."""
    from yuccapoint_standins.deployment import Deployment
    from yuccapoint_standins.deployment import find_free_address
    from yuccapoint_standins.deployment import SPECS_BY_NAME

    deployment = Deployment(SPECS_BY_NAME[name], 1, 1, seed)
    await deployment.start()
    endpoint = deployment.vms[0].endpoint
    endpoint.service_time_s = 0.0
    client = AsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)
    direct = endpoint.announcement.address
    kept = EndpointClient()
    stock_outer = _forward(
        _stock(client, _forward(_stock(client, direct), find_free_address())),
        find_free_address(),
    )
    kept_inner = _forward(KeptForwarder(kept, direct), find_free_address())
    kept_outer = _forward(KeptForwarder(kept, kept_inner), find_free_address())
    caller = deployment.entries[0].settings.listen.caller_address
    path = "/quotes/x" if name == "caribfert" else "/availability/x"
    body = random.Random(seed).randbytes(BODY_BYTES)
    best = dict.fromkeys(
        (direct, stock_outer, kept_outer, caller), float("inf")
    )
    for _ in range(ROUNDS):
        for address in best:
            took_s = await _load(client, address, path, body)
            best[address] = min(best[address], took_s)
    with SessionCounter() as counter:
        await _load(client, caller, path, body)
    client.close()
    kept.close()
    deployment.close()
    path_s = best[caller] - best[direct]
    kept_s = best[kept_outer] - best[direct]
    stock_s = best[stock_outer] - best[direct]
    crossed = counter.written_bytes / (2 * BODY_BYTES * REQUESTS)
    return PathFigures(
        path_cost_ratio=round(path_s / kept_s, 3),
        stock_cost_ratio=round(path_s / stock_s, 3),
        path_ms=_ms(path_s),
        kept_forwarders_ms=_ms(kept_s),
        stock_forwarders_ms=_ms(stock_s),
        direct_ms=_ms(best[direct]),
        session_bytes_ratio=round(crossed, 3),
    )


def _ms(took_s: float) -> float:
    return round(took_s / REQUESTS * 1000, 3)


def _stock(client: AsyncHTTPClient, address: str) -> Application:
    return Application(
        [(r"/.*", StockHandler, {"client": client, "address": address})],
        log_function=lambda handler: None,
    )


def _forward(delegate: Application | KeptForwarder, address: str) -> str:
    host, _, port = address.rpartition(":")
    HTTPServer(delegate).listen(int(port), host)
    return address


async def _load(
    client: AsyncHTTPClient, address: str, path: str, body: bytes
) -> float:
    free = asyncio.Semaphore(AT_ONCE)

    async def send() -> None:
        async with free:
            answer = await client.fetch(
                HTTPRequest(
                    f"http://{address}{path}",
                    method="POST",
                    body=body,
                    headers={"Content-Type": "application/octet-stream"},
                )
            )
            if answer.body != body:
                raise ValueError("another answer came")

    started_s = time.process_time()
    await asyncio.gather(*(send() for _ in range(REQUESTS)))
    return time.process_time() - started_s
