"""Endpoints registered at an agent."""

from __future__ import annotations

import msgspec

from yuccapoint.connection.messages import EndpointReport
from yuccapoint.job.interference.service_class import service_class
from yuccapoint.request.admission import Admission
from yuccapoint.request.endpoint_view import EndpointState

ANNOUNCE_TIMEOUT_S = 3.0
REMOVE_AFTER_S = 30.0


class Announcement(msgspec.Struct, frozen=True):
    """Announcement that an endpoint sends each second.

    Attributes
    ----------
    name, service : str
        Names of the endpoint and of the service that it belongs to.
    address : str
        IP number and port of its HTTP server.
    incarnation : int
        Increases with each start of the endpoint.
    leaving : bool
        Whether it accepts no new work.
    """

    name: str
    service: str
    address: str
    incarnation: int
    leaving: bool = False


class LocalEndpoint:
    """Endpoint on the agent's VM, with its admission queue."""

    __slots__ = ("admission", "announced_at_s", "announcement")

    def __init__(
        self, announcement: Announcement, admission: Admission
    ) -> None:
        self.announcement = announcement
        self.admission = admission
        self.announced_at_s = 0.0


class EndpointRegistry:
    """Registers endpoints by their announcements.

    Parameters
    ----------
    slots, connections : int
        Limits of each endpoint.
    """

    def __init__(self, slots: int, connections: int) -> None:
        self._slots = slots
        self._connections = connections
        self._endpoints: dict[str, LocalEndpoint] = {}

    def announce(self, announcement: Announcement, now_s: float) -> bool:
        """Apply an announcement; return False for an older incarnation."""
        registered = self._endpoints.get(announcement.name)
        if registered is None:
            registered = LocalEndpoint(
                announcement, Admission(self._slots, self._connections)
            )
            self._endpoints[announcement.name] = registered
        if announcement.incarnation < registered.announcement.incarnation:
            return False
        same = announcement.incarnation == registered.announcement.incarnation
        if same and registered.announcement.leaving:
            announcement = msgspec.structs.replace(announcement, leaving=True)
        registered.announcement = announcement
        registered.announced_at_s = now_s
        return True

    def find(self, name: str) -> LocalEndpoint | None:
        """Find an endpoint by name."""
        return self._endpoints.get(name)

    def all(self) -> list[LocalEndpoint]:
        """Return all endpoints."""
        return list(self._endpoints.values())

    def service(self) -> str:
        """Return the VM's service class; empty without endpoints."""
        return service_class(
            endpoint.announcement.service
            for endpoint in self._endpoints.values()
        )

    def state(
        self, endpoint: LocalEndpoint, now_s: float, *, stopping: bool
    ) -> EndpointState:
        """Return an endpoint's state."""
        if stopping or endpoint.announcement.leaving:
            return EndpointState.LEAVING
        if now_s - endpoint.announced_at_s > ANNOUNCE_TIMEOUT_S:
            return EndpointState.SUSPECTED
        return EndpointState.READY

    def reports(self, now_s: float, *, stopping: bool) -> list[EndpointReport]:
        """Report all endpoints; remove those without announcements."""
        endpoint_reports = []
        for name, endpoint in list(self._endpoints.items()):
            if now_s - endpoint.announced_at_s > REMOVE_AFTER_S:
                del self._endpoints[name]
                continue
            admission = endpoint.admission
            endpoint_reports.append(
                EndpointReport(
                    name,
                    endpoint.announcement.service,
                    self.state(endpoint, now_s, stopping=stopping).value,
                    admission.slots,
                    len(admission.running),
                    admission.queued,
                    admission.service_time_s,
                )
            )
        return endpoint_reports
