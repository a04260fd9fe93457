"""The stand-in worker over HTTP."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import msgspec
from tornado.httpserver import HTTPServer
from tornado.ioloop import PeriodicCallback
from tornado.web import Application
from tornado.web import RequestHandler

from yuccapoint.connection.http_worker import LeaseBody
from yuccapoint.connection.http_worker import StartBody
from yuccapoint.connection.http_worker import ThrottleBody
from yuccapoint.job.worker_events import Inventory
from yuccapoint.job.worker_events import WorkerEventPage
from yuccapoint_standins.worker_model import WorkerModel
from yuccapoint_standins.worker_model import WorkerRefusedError

if TYPE_CHECKING:
    from yuccapoint.job.size import Size

TICK_INTERVAL_MS = 20
POLL_INTERVAL_S = 0.02


class WorkerService:
    """Serves one worker on an address."""

    def __init__(self, address: str, capacity: Size) -> None:
        self.model = WorkerModel(capacity)
        arguments = {"service": self}
        self._server = HTTPServer(
            Application(
                [
                    (r"/v1/tasks", TasksHandler, arguments),
                    (r"/v1/tasks/([^/]+)/(\d+)", StartHandler, arguments),
                    (
                        r"/v1/tasks/([^/]+)/(\d+)/(throttle|stop)",
                        ControlHandler,
                        arguments,
                    ),
                    (r"/v1/lease", LeaseHandler, arguments),
                    (r"/v1/events", EventsHandler, arguments),
                    (r"/v1/usage", UsageHandler, arguments),
                ],
                log_function=lambda handler: None,
            )
        )
        host, _, port = address.rpartition(":")
        self._server.listen(int(port), host)
        self._ticker = PeriodicCallback(self._tick, TICK_INTERVAL_MS)
        self._ticker.start()

    def close(self) -> None:
        """Stop immediately and drop all tasks."""
        self._ticker.stop()
        self._server.stop()
        self.model.tasks.clear()

    def _tick(self) -> None:
        self.model.tick(time.monotonic())


class WorkerHandler(RequestHandler):
    """Base class of the handlers."""

    def initialize(self, service: WorkerService) -> None:
        """Store the model of the service."""
        self.model = service.model

    def refuse(self, error: WorkerRefusedError) -> None:
        """Respond with a refusal."""
        self.set_status(409)
        self.finish(str(error))


class TasksHandler(WorkerHandler):
    """Serves the inventory."""

    def get(self) -> None:
        """Return the capacity and the running tasks of the worker."""
        inventory = Inventory(
            self.model.capacity, self.model.running(), self.model.next_number
        )
        self.finish(msgspec.json.encode(inventory))


class StartHandler(WorkerHandler):
    """Starts tasks."""

    def put(self, job_id: str, attempt: str) -> None:
        """Start a task."""
        body = msgspec.json.decode(self.request.body, type=StartBody)
        try:
            self.model.start(job_id, int(attempt), body, time.monotonic())
        except WorkerRefusedError as error:
            self.refuse(error)


class ControlHandler(WorkerHandler):
    """Throttles and stops tasks."""

    def post(self, job_id: str, attempt: str, verb: str) -> None:
        """Throttle or stop a task."""
        try:
            if verb == "stop":
                self.model.stop(job_id, int(attempt), time.monotonic())
                return
            body = msgspec.json.decode(self.request.body, type=ThrottleBody)
            now_s = time.monotonic()
            self.model.throttle(job_id, int(attempt), body.share, now_s)
        except WorkerRefusedError as error:
            self.refuse(error)


class LeaseHandler(WorkerHandler):
    """Renews leases."""

    def post(self) -> None:
        """Extend the lease of all tasks."""
        body = msgspec.json.decode(self.request.body, type=LeaseBody)
        self.model.renew(body.lease_until_s)


class EventsHandler(WorkerHandler):
    """Serves the ends of tasks."""

    async def get(self) -> None:
        """Return events from a number on, waiting up to ``wait_s``."""
        number = int(self.get_argument("from"))
        until_s = time.monotonic() + float(self.get_argument("wait_s", "0"))
        while self.model.next_number <= number and time.monotonic() < until_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        ended = self.model.events_from(number)
        page = WorkerEventPage(max(number, self.model.next_number), ended)
        self.finish(msgspec.json.encode(page))


class UsageHandler(WorkerHandler):
    """Serves delayed measurements."""

    def get(self) -> None:
        """Return the newest measurements."""
        self.finish(msgspec.json.encode(self.model.usage(time.monotonic())))
