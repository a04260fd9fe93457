"""The stand-in log service over HTTP, with its faults."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application
from tornado.web import RequestHandler

from yuccapoint.connection.log_port import LogPage
from yuccapoint_standins.log_store import LogStore

if TYPE_CHECKING:
    import random

MAX_APPENDS_PER_S = 300
POLL_INTERVAL_S = 0.01


class LogFaults:
    """Faults that the log injects at present.

    Attributes
    ----------
    down : bool
        Whether all calls are refused.
    delay_s : float
        Delay before each call is served.
    lost_answers : float
        Share of appends whose response is lost after the write.
    """

    __slots__ = ("delay_s", "down", "lost_answers")

    def __init__(self) -> None:
        self.down = False
        self.delay_s = 0.0
        self.lost_answers = 0.0


class LogService:
    """Serves one log stream on an address.

    Parameters
    ----------
    address : str
        IP address and port.
    rng : random.Random
        Selects the responses that are lost.
    """

    def __init__(self, address: str, rng: random.Random) -> None:
        self.store = LogStore()
        self.faults = LogFaults()
        self.rng = rng
        self.appends = 0
        self._tokens = float(MAX_APPENDS_PER_S)
        self._refilled_at_s = time.monotonic()
        self._server = HTTPServer(
            Application(
                [
                    (
                        r"/v1/streams/[^/]+/records",
                        RecordsHandler,
                        {"service": self},
                    )
                ],
                log_function=lambda handler: None,
            )
        )
        host, _, port = address.rpartition(":")
        self._server.listen(int(port), host)

    def admit_append(self) -> bool:
        """Return whether the rate limit admits an append, and count it."""
        now_s = time.monotonic()
        refill = (now_s - self._refilled_at_s) * MAX_APPENDS_PER_S
        self._tokens = min(MAX_APPENDS_PER_S, self._tokens + refill)
        self._refilled_at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()


class RecordsHandler(RequestHandler):
    """Serves appends and reads."""

    def initialize(self, service: LogService) -> None:
        """Store the service."""
        self.service = service

    async def post(self) -> None:
        """Append the body as one record."""
        service = self.service
        if service.faults.delay_s:
            await asyncio.sleep(service.faults.delay_s)
        if service.faults.down:
            self.set_status(503)
            return
        if not service.admit_append():
            self.set_status(429)
            return
        stamp_ms = time.time_ns() // 1_000_000
        offset = service.store.append(self.request.body, stamp_ms)
        service.appends += 1
        if service.rng.random() < service.faults.lost_answers:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.write(str(offset))

    async def get(self) -> None:
        """Read from an offset, waiting up to ``wait_s`` for new records."""
        service = self.service
        from_offset = int(self.get_argument("from"))
        until_s = time.monotonic() + float(self.get_argument("wait_s", "0"))
        if service.faults.delay_s:
            await asyncio.sleep(service.faults.delay_s)
        while True:
            if service.faults.down:
                self.set_status(503)
                return
            records = service.store.read(from_offset)
            if records is None:
                self.set_status(410)
                self.write(str(service.store.earliest_offset))
                return
            if records or time.monotonic() >= until_s:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        page = LogPage(records, from_offset + len(records))
        self.write(msgspec.msgpack.encode(page))
