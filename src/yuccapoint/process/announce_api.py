"""The agent's HTTP port, where endpoints announce themselves."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec
from tornado.web import Application
from tornado.web import RequestHandler

from yuccapoint.process.endpoint_registry import Announcement

if TYPE_CHECKING:
    from yuccapoint.process.agent_process import AgentProcess

STATUS_BAD_REQUEST = 400
STATUS_CONFLICT = 409
STATUS_UNAVAILABLE = 503


class AgentHandler(RequestHandler):
    """What all handlers share."""

    def initialize(self, agent: AgentProcess) -> None:
        """Take the process that the handler serves."""
        self.agent = agent


class AnnounceHandler(AgentHandler):
    """Announcements of endpoints."""

    def post(self) -> None:
        """Take an announcement."""
        try:
            announcement = msgspec.json.decode(
                self.request.body, type=Announcement
            )
        except msgspec.DecodeError as error:
            self.set_status(STATUS_BAD_REQUEST)
            self.finish(f"{error}\n")
            return
        known = self.agent.endpoints.find(announcement.name)
        news = known is None or known.announcement != announcement
        if not self.agent.endpoints.announce(announcement, time.monotonic()):
            self.set_status(STATUS_CONFLICT)
            self.finish("a newer start of the endpoint is known\n")
            return
        if news:
            word = "leaves" if announcement.leaving else "announced"
            text = f"{announcement.name} {word}"
            self.agent.logs.say("endpoint", text)
            self.agent.report()
        self.finish("ok\n")


class AgentHealthHandler(AgentHandler):
    """Whether the process lives, and whether it takes work."""

    def get(self, kind: str) -> None:
        """Answer a probe."""
        agent = self.agent
        if kind == "ready" and (
            agent.stopping or not agent.keeper.inventory_loaded
        ):
            self.set_status(STATUS_UNAVAILABLE)
            self.finish("not ready\n")
            return
        self.finish("ok\n")


class AgentMetricsHandler(AgentHandler):
    """The metrics in the exposition format."""

    def get(self) -> None:
        """Give the metrics."""
        agent = self.agent
        agent.metrics.set("tables_version", agent.tables.version)
        agent.metrics.set("tasks", len(agent.keeper.tasks))
        agent.metrics.set(
            "committed_millicores", agent.keeper.allocator.committed.millicores
        )
        agent.metrics.set("evictions", agent.guard.evictions)
        rendered = agent.metrics.render()
        self.set_header("Content-Type", rendered.content_type)
        self.finish(rendered.body)


def announce_application(agent: AgentProcess) -> Application:
    """Build the application of the agent's port."""
    given = {"agent": agent}
    return Application(
        [
            (r"/v1/announce", AnnounceHandler, given),
            (r"/(health|ready)", AgentHealthHandler, given),
            (r"/metrics", AgentMetricsHandler, given),
        ],
        log_function=_log_nothing,
    )


def _log_nothing(handler: RequestHandler) -> None:
    del handler
