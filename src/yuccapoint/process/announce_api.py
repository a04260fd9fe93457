"""HTTP interface of an agent: endpoint announcements and health."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from tornado.web import Application
from tornado.web import RequestHandler

from yuccapoint.decoding import decode_json
from yuccapoint.exceptions import DecodingError
from yuccapoint.process.endpoint_registry import Announcement

if TYPE_CHECKING:
    from yuccapoint.process.agent_process import AgentProcess

STATUS_BAD_REQUEST = 400
STATUS_CONFLICT = 409
STATUS_UNAVAILABLE = 503


class AgentHandler(RequestHandler):
    """Base of the agent's handlers."""

    def initialize(self, agent: AgentProcess) -> None:
        """Store the process that the handler serves."""
        self.agent = agent


class AnnounceHandler(AgentHandler):
    """Receives announcements of endpoints."""

    def post(self) -> None:
        """Register or update an endpoint."""
        try:
            announcement = decode_json(self.request.body, Announcement)
        except DecodingError as error:
            self.set_status(STATUS_BAD_REQUEST)
            self.finish(f"{error}\n")
            return
        registered = self.agent.endpoints.find(announcement.name)
        changed = registered is None or registered.announcement != announcement
        if not self.agent.endpoints.announce(announcement, time.monotonic()):
            self.set_status(STATUS_CONFLICT)
            self.finish("a newer incarnation of the endpoint is registered\n")
            return
        if changed:
            word = "is leaving" if announcement.leaving else "announced"
            text = f"{announcement.name} {word}"
            self.agent.logger.log("endpoint", text)
            self.agent.report()
        self.finish("ok\n")


class AgentHealthHandler(AgentHandler):
    """Liveness and readiness probes."""

    def get(self, kind: str) -> None:
        """Answer a probe."""
        agent = self.agent
        if kind == "ready" and (
            agent.stopping or not agent.task_manager.inventory_loaded
        ):
            self.set_status(STATUS_UNAVAILABLE)
            self.finish("not ready\n")
            return
        self.finish("ok\n")


class AgentMetricsHandler(AgentHandler):
    """Exports the metrics in the exposition format."""

    def get(self) -> None:
        """Return the metrics."""
        agent = self.agent
        agent.metrics.set("tables_version", agent.tables.version)
        agent.metrics.set("tasks", len(agent.task_manager.tasks))
        agent.metrics.set(
            "committed_millicores",
            agent.task_manager.allocator.committed.millicores,
        )
        agent.metrics.set("evictions", agent.guard.evictions)
        rendered = agent.metrics.render()
        self.set_header("Content-Type", rendered.content_type)
        self.finish(rendered.body)


def announce_application(agent: AgentProcess) -> Application:
    """Build the application of the agent's HTTP port."""
    arguments = {"agent": agent}
    return Application(
        [
            (r"/v1/announce", AnnounceHandler, arguments),
            (r"/(health|ready)", AgentHealthHandler, arguments),
            (r"/metrics", AgentMetricsHandler, arguments),
        ],
        log_function=_suppress_access_log,
    )


def _suppress_access_log(handler: RequestHandler) -> None:
    del handler
