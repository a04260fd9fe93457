"""The stand-in service endpoint over HTTP."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import msgspec
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError
from tornado.httpserver import HTTPServer
from tornado.ioloop import PeriodicCallback
from tornado.web import Application
from tornado.web import RequestHandler

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.process.endpoint_registry import Announcement

ANNOUNCE_INTERVAL_MS = 1_000
MAX_BODY_BYTES = 64 * 1024 * 1024


class EndpointService:
    """Serves one endpoint, which echoes requests and counts its runs.

    Parameters
    ----------
    announcement : Announcement
        Identity of the endpoint.
    agent_address : str
        Announce address of the agent on the same VM.
    service_time_s : float
        Service time on an idle VM.
    slowdown : callable
        Returns the current true slowdown of the VM.

    Attributes
    ----------
    runs : dict of str to int
        Number of runs by request name.
    """

    def __init__(
        self,
        announcement: Announcement,
        agent_address: str,
        service_time_s: float,
        slowdown: Callable[[], float],
    ) -> None:
        self.announcement = announcement
        self.service_time_s = service_time_s
        self.slowdown = slowdown
        self.runs: dict[str, int] = {}
        self.failing = False
        self._url = f"http://{agent_address}/v1/announce"
        self._client = AsyncHTTPClient(force_instance=True)
        self._server = HTTPServer(
            Application(
                [(r"/.*", EchoHandler, {"service": self})],
                log_function=lambda handler: None,
            ),
            max_body_size=MAX_BODY_BYTES,
        )
        host, _, port = announcement.address.rpartition(":")
        self._server.listen(int(port), host)
        self._announcer = PeriodicCallback(self.announce, ANNOUNCE_INTERVAL_MS)
        self._announcer.start()

    async def announce(self) -> None:
        """Announce to the agent that this endpoint is alive."""
        body = msgspec.json.encode(self.announcement)
        try:
            await self._client.fetch(self._url, method="POST", body=body)
        except (HTTPClientError, OSError):
            return

    async def leave(self) -> None:
        """Announce to the agent that this endpoint accepts no new work."""
        self.announcement = msgspec.structs.replace(
            self.announcement, leaving=True
        )
        await self.announce()

    def close(self) -> None:
        """Stop immediately."""
        self._announcer.stop()
        self._server.stop()
        self._client.close()


class EchoHandler(RequestHandler):
    """Echoes a request after the service time."""

    def initialize(self, service: EndpointService) -> None:
        """Store the service."""
        self.service = service

    async def serve(self) -> None:
        """Run a request."""
        service = self.service
        if service.failing:
            self.set_status(500)
            self.finish("failing\n")
            return
        name = self.request.headers.get("X-Request-Name", "")
        if name:
            service.runs[name] = service.runs.get(name, 0) + 1
        service_time_s = service.service_time_s
        requested_s = self.request.headers.get("X-Work-S")
        if requested_s:
            service_time_s = float(requested_s)
        started_s = time.monotonic()
        await asyncio.sleep(service_time_s * service.slowdown())
        self.set_header("X-Endpoint", service.announcement.name)
        self.set_header("X-Request-Name", name)
        self.set_header("X-Method", self.request.method or "")
        self.set_header("X-Target", self.request.uri or "")
        for value in self.request.headers.get_list("X-Echo"):
            self.add_header("X-Echo", value)
        self.set_header("X-Took-S", f"{time.monotonic() - started_s:.6f}")
        self.finish(self.request.body)

    get = post = put = serve
    delete = patch = head = options = serve
