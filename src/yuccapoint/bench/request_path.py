"""Processor time of the request path against plain HTTP forwarders."""

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

REQUESTS_PER_ROUND = 200
ROUNDS = 3
CONCURRENT_REQUESTS = 8
BODY_BYTES = 1_000
MAX_CLIENT_CONNECTIONS = 200
FORWARD_TIMEOUT_S = 10.0


class PathFigures(msgspec.Struct, frozen=True):
    """Processor time per request of the hops from caller to endpoint.

    Attributes
    ----------
    path_cost_ratio : float
        Entry and agent relative to two forwarders with keep-alive.
    stock_cost_ratio : float
        The same relative to two with tornado's web handler and client.
    direct_ms : float
        Caller and endpoint alone; subtracted from the other times.
    session_bytes_ratio : float
        Bytes written to sessions relative to the bodies that they carry.
    """

    path_cost_ratio: float
    stock_cost_ratio: float
    path_ms: float
    kept_forwarders_ms: float
    stock_forwarders_ms: float
    direct_ms: float
    session_bytes_ratio: float


class StockForwarder(RequestHandler):
    """Forwards with tornado's web handler and stock client."""

    def initialize(self, client: AsyncHTTPClient, address: str) -> None:
        """Set the client and the address to forward to."""
        self.client = client
        self.address = address

    async def post(self) -> None:
        """Forward the request and relay the response."""
        response = await self.client.fetch(
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
        self.set_status(response.code)
        for name, value in response.headers.get_all():
            if name not in ("Content-Length", "Transfer-Encoding"):
                self.add_header(name, value)
        self.finish(response.body)


class KeepAliveForwarder(HTTPServerConnectionDelegate):
    """Forwards over tornado's bare connections and keeps them alive."""

    def __init__(self, client: EndpointClient, address: str) -> None:
        self.client = client
        self.address = address

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate of a new request."""
        del server_conn
        return KeepAliveRequest(self, request_conn)


class KeepAliveRequest(HTTPMessageDelegate):
    """One request of a ``KeepAliveForwarder``."""

    def __init__(
        self, forwarder: KeepAliveForwarder, connection: HTTPConnection
    ) -> None:
        self._forwarder = forwarder
        self._connection = connection
        self._body: list[bytes] = []
        self._response_body: list[bytes] = []

    def headers_received(self, start_line: object, headers: object) -> None:
        """Store the request line and the headers."""
        self._line = start_line
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body."""
        self._body.append(chunk)

    def finish(self) -> None:
        """Forward the complete request."""
        self._task = asyncio.ensure_future(self._forward())

    async def _forward(self) -> None:
        request_line: RequestStartLine = self._line  # type: ignore[assignment]
        headers: HTTPHeaders = self._headers  # type: ignore[assignment]
        await self._forwarder.client.call(
            self._forwarder.address,
            request_line.method,
            request_line.path,
            end_to_end_headers(
                [Header(name, value) for name, value in headers.get_all()]
            ),
            b"".join(self._body),
            time.monotonic() + FORWARD_TIMEOUT_S,
            self._on_head,
            self._response_body.append,
        )
        body = b"".join(self._response_body)
        response_headers = HTTPHeaders()
        for header in self._head.headers:
            response_headers.add(header.name, header.value)
        response_headers["Content-Length"] = str(len(body))
        status_line = ResponseStartLine(
            "", self._head.status, self._head.reason
        )
        self._connection.write_headers(status_line, response_headers, body)
        self._connection.finish()

    def _on_head(self, head: EndpointResponse) -> None:
        self._head = head


class SessionByteCounter:
    """Counts the bytes written to sessions while it is entered."""

    def __init__(self) -> None:
        self.written_bytes = 0
        self._write = FrameStream.write

    def __enter__(self) -> SessionByteCounter:
        """Start counting."""
        setattr(FrameStream, "write", self._counting_write())  # noqa: B010
        return self

    def __exit__(self, *args: object) -> None:
        """Stop counting."""
        setattr(FrameStream, "write", self._write)  # noqa: B010

    def _counting_write(
        self,
    ) -> Callable[[FrameStream, Frame], asyncio.Future[None]]:
        def write(stream: FrameStream, frame: Frame) -> asyncio.Future[None]:
            self.written_bytes += len(msgspec.msgpack.encode(frame)) + 4
            return self._write(stream, frame)

        return write


async def measure_path(name: str, seed: int) -> PathFigures:
    """Send equal requests over the path and over two kinds of forwarders."""
    from yuccapoint_standins.deployment import Deployment
    from yuccapoint_standins.deployment import find_free_address
    from yuccapoint_standins.deployment import SPECS_BY_NAME

    deployment = Deployment(SPECS_BY_NAME[name], 1, 1, seed)
    await deployment.start()
    endpoint = deployment.vms[0].endpoint
    endpoint.service_time_s = 0.0
    client = AsyncHTTPClient(
        force_instance=True, max_clients=MAX_CLIENT_CONNECTIONS
    )
    endpoint_address = endpoint.announcement.address
    keep_alive_client = EndpointClient()
    stock_outer = _listen(
        _stock_application(
            client,
            _listen(
                _stock_application(client, endpoint_address),
                find_free_address(),
            ),
        ),
        find_free_address(),
    )
    keep_alive_inner = _listen(
        KeepAliveForwarder(keep_alive_client, endpoint_address),
        find_free_address(),
    )
    keep_alive_outer = _listen(
        KeepAliveForwarder(keep_alive_client, keep_alive_inner),
        find_free_address(),
    )
    entry_address = deployment.entries[0].settings.listen.caller_address
    path = "/quotes/x" if name == "caribfert" else "/availability/x"
    body = random.Random(seed).randbytes(BODY_BYTES)
    best_s = dict.fromkeys(
        (endpoint_address, stock_outer, keep_alive_outer, entry_address),
        float("inf"),
    )
    for _ in range(ROUNDS):
        for address in best_s:
            elapsed_s = await _send_requests(client, address, path, body)
            best_s[address] = min(best_s[address], elapsed_s)
    with SessionByteCounter() as counter:
        await _send_requests(client, entry_address, path, body)
    client.close()
    keep_alive_client.close()
    deployment.close()
    path_s = best_s[entry_address] - best_s[endpoint_address]
    keep_alive_s = best_s[keep_alive_outer] - best_s[endpoint_address]
    stock_s = best_s[stock_outer] - best_s[endpoint_address]
    session_ratio = counter.written_bytes / (
        2 * BODY_BYTES * REQUESTS_PER_ROUND
    )
    return PathFigures(
        path_cost_ratio=round(path_s / keep_alive_s, 3),
        stock_cost_ratio=round(path_s / stock_s, 3),
        path_ms=_ms_per_request(path_s),
        kept_forwarders_ms=_ms_per_request(keep_alive_s),
        stock_forwarders_ms=_ms_per_request(stock_s),
        direct_ms=_ms_per_request(best_s[endpoint_address]),
        session_bytes_ratio=round(session_ratio, 3),
    )


def _ms_per_request(elapsed_s: float) -> float:
    return round(elapsed_s / REQUESTS_PER_ROUND * 1000, 3)


def _stock_application(client: AsyncHTTPClient, address: str) -> Application:
    return Application(
        [(r"/.*", StockForwarder, {"client": client, "address": address})],
        log_function=lambda handler: None,
    )


def _listen(delegate: Application | KeepAliveForwarder, address: str) -> str:
    host, _, port = address.rpartition(":")
    HTTPServer(delegate).listen(int(port), host)
    return address


async def _send_requests(
    client: AsyncHTTPClient, address: str, path: str, body: bytes
) -> float:
    limit = asyncio.Semaphore(CONCURRENT_REQUESTS)

    async def send() -> None:
        async with limit:
            response = await client.fetch(
                HTTPRequest(
                    f"http://{address}{path}",
                    method="POST",
                    body=body,
                    headers={"Content-Type": "application/octet-stream"},
                )
            )
            if response.body != body:
                raise ValueError("response body differs from the request body")

    started_s = time.process_time()
    await asyncio.gather(*(send() for _ in range(REQUESTS_PER_ROUND)))
    return time.process_time() - started_s
