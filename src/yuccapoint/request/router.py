"""The entry's choice of an endpoint for each request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.request.endpoint_view import EndpointState
from yuccapoint.request.endpoint_view import EndpointView
from yuccapoint.request.exceptions import NoEndpointError
import yuccapoint.request.selection.policies  # noqa: F401
from yuccapoint.request.selection.registry import SELECTION_POLICIES

if TYPE_CHECKING:
    import random

    from yuccapoint.connection.messages import AgentReport
    from yuccapoint.version.route import Route

SILENT_AFTER_S = 3.0
RETRY_AFTER_S = 1.0


class RouteDecision:
    """The endpoint chosen, and what was weighed.

    Attributes
    ----------
    view : EndpointView
        The choice.
    tier : str
        ``data centre``, ``region`` or ``far``: where the choice lies.
    candidates : int
        Endpoints of that tier which might have been chosen.
    """

    __slots__ = ("candidates", "load", "tier", "view")

    def __init__(
        self, view: EndpointView, tier: str, candidates: int, load: float
    ) -> None:
        self.view = view
        self.tier = tier
        self.candidates = candidates
        self.load = load


class Router:
    """Keeps the endpoints' reports and chooses among them.

    Parameters
    ----------
    data_centre, region : str
        Where this entry runs.
    rng : random.Random
        Source of the policies' random choices.
    """

    def __init__(
        self, data_centre: str, region: str, rng: random.Random
    ) -> None:
        self.data_centre = data_centre
        self.region = region
        self.views: dict[str, EndpointView] = {}
        self.addresses: dict[str, str] = {}
        self._rng = rng
        self._by_service: dict[str, dict[str, EndpointView]] = {}
        self._by_vm: dict[str, set[str]] = {}
        self._incarnations: dict[str, int] = {}

    def on_report(self, report: AgentReport, now_s: float) -> None:
        """Take over what an agent says of its endpoints."""
        known = self._incarnations.get(report.vm, 0)
        if report.incarnation < known:
            return
        self._incarnations[report.vm] = report.incarnation
        self.addresses[report.vm] = report.session_address
        keys = set()
        for endpoint in report.endpoints:
            key = f"{report.vm}/{endpoint.name}"
            keys.add(key)
            view = self.views.get(key)
            if view is None:
                view = EndpointView(report, endpoint)
                self.views[key] = view
                self._service(report.pool, endpoint.service)[key] = view
            view.update(report, endpoint, now_s)
        for key in self._by_vm.get(report.vm, set()) - keys:
            self._forget(key)
        self._by_vm[report.vm] = keys

    def choose(
        self, route: Route, excluded: set[str], now_s: float
    ) -> RouteDecision:
        """Choose an endpoint for a request.

        Parameters
        ----------
        route : Route
            The request's route.
        excluded : set of str
            Keys of endpoints that were tried before.
        now_s : float
            Monotonic time.

        Returns
        -------
        RouteDecision
            The choice and what was weighed.

        Raises
        ------
        NoEndpointError
            No endpoint may serve the request now.
        """
        near: list[EndpointView] = []
        region: list[EndpointView] = []
        far: list[EndpointView] = []
        for view in self._service(route.pool, route.service).values():
            if view.key in excluded or not self._usable(view, now_s):
                continue
            if view.data_centre == self.data_centre:
                near.append(view)
                continue
            if view.region == self.region:
                region.append(view)
                continue
            far.append(view)
        policy = SELECTION_POLICIES[route.policy]
        if near:
            return self._decide(policy(near, self._rng, now_s), near, now_s)
        if region:
            chosen = policy(region, self._rng, now_s)
            return self._decide(chosen, region, now_s)
        if far:
            return self._decide(policy(far, self._rng, now_s), far, now_s)
        raise NoEndpointError(
            f"no endpoint of {route.service} in pool {route.pool} may serve",
            retry_after_s=RETRY_AFTER_S,
        )

    def _decide(
        self, view: EndpointView, views: list[EndpointView], now_s: float
    ) -> RouteDecision:
        view.chosen_count += 1
        tier = "far"
        if view.region == self.region:
            tier = "region"
        if view.data_centre == self.data_centre:
            tier = "data centre"
        return RouteDecision(view, tier, len(views), view.load(now_s))

    def _usable(self, view: EndpointView, now_s: float) -> bool:
        if view.state is not EndpointState.READY:
            return False
        return now_s - view.reported_at_s < SILENT_AFTER_S

    def _service(self, pool: str, service: str) -> dict[str, EndpointView]:
        return self._by_service.setdefault(f"{pool}/{service}", {})

    def _forget(self, key: str) -> None:
        view = self.views.pop(key)
        self._service(view.pool, view.service).pop(key, None)
