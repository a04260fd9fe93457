"""Selection of an endpoint for each request at an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.request.endpoint_view import EndpointState
from yuccapoint.request.endpoint_view import EndpointView
from yuccapoint.request.exceptions import NoEndpointError
from yuccapoint.request.selection.policies import choose_random
from yuccapoint.request.selection.registry import SELECTION_POLICIES
from yuccapoint.request.service_endpoints import ServiceEndpoints

if TYPE_CHECKING:
    import random

    from yuccapoint.connection.messages import AgentReport
    from yuccapoint.version.route import Route

REPORT_TIMEOUT_S = 3.0
# Requests per slot from which the next tier is tried.
SPILLOVER_LOADS = {"data centre": 2.0, "region": 4.0, "far": 4.0}
RETRY_AFTER_S = 1.0
OVERLOAD_DRAWS_PER_TIER = 2


class RouteDecision:
    """The chosen endpoint and the basis of the choice.

    Attributes
    ----------
    view : EndpointView
        The chosen endpoint.
    tier : str
        Its tier: ``data centre``, ``region`` or ``far``.
    candidates : int
        Number of ready endpoints in that tier.
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
    """Tracks the reported endpoints and chooses one for each request.

    Parameters
    ----------
    data_centre, region : str
        Where this entry runs.
    rng : random.Random
        Source of the policies' random choices.
    entry : str
        This entry's name, which determines its subset of endpoints.

    Attributes
    ----------
    entry_count : int
        Number of entries that share the endpoints.
    session_addresses : dict of str to str
        Session address of each VM's agent.
    """

    def __init__(
        self,
        data_centre: str,
        region: str,
        rng: random.Random,
        entry: str = "",
    ) -> None:
        self.data_centre = data_centre
        self.region = region
        self.entry_count = 1
        self.views: dict[str, EndpointView] = {}
        self.session_addresses: dict[str, str] = {}
        self._entry = entry
        self._rng = rng
        self._services: dict[tuple[str, str], ServiceEndpoints] = {}
        self._by_vm: dict[str, set[str]] = {}
        self._newest_reports: dict[str, tuple[int, int]] = {}

    def on_report(self, report: AgentReport, now_s: float) -> None:
        """Apply an agent's report of its endpoints."""
        # A report may be overtaken by a later one over a new connection.
        newest = (report.incarnation, report.sequence)
        if newest < self._newest_reports.get(report.vm, (0, 0)):
            return
        self._newest_reports[report.vm] = newest
        self.session_addresses[report.vm] = report.session_address
        keys = set()
        for endpoint in report.endpoints:
            key = f"{report.vm}/{endpoint.name}"
            keys.add(key)
            view = self.views.get(key)
            if view is None:
                view = EndpointView(report, endpoint)
                self.views[key] = view
            self._remove_if_moved(view, report)
            view.update(report, endpoint, now_s)
            self._service(report.pool, endpoint.service).refresh(view)
        for key in self._by_vm.get(report.vm, set()) - keys:
            self._remove(key)
        self._by_vm[report.vm] = keys

    def choose(
        self,
        route: Route,
        excluded: set[str],
        now_s: float,
        *,
        allow_far: bool = True,
        customer: str = "",
    ) -> RouteDecision:
        """Choose an endpoint for a request.

        Parameters
        ----------
        route : Route
            The request's route.
        excluded : set of str
            Keys of endpoints that were already tried.
        now_s : float
            Monotonic time.
        allow_far : bool
            Whether an endpoint of another region may be chosen.
        customer : str
            Customer of the request. When all tiers are overloaded, the
            endpoint with the shortest expected wait for this customer is
            chosen.

        Returns
        -------
        RouteDecision
            The chosen endpoint and the basis of the choice.

        Raises
        ------
        NoEndpointError
            No endpoint is eligible.
        """
        service = self._service(route.pool, route.service)
        if route.idempotent and service.quarantined:
            view = service.next_probe(now_s)
            allowed = (
                allow_far or view is None or service.tier_of(view) != "far"
            )
            if view is not None and view.key not in excluded and allowed:
                return self._decision(service, view, now_s)
        candidates = self._draw_views(
            service, route, excluded, now_s, allow_far=allow_far
        )
        view = min(
            candidates,
            key=lambda view: view.wait_rank(customer, now_s),
            default=None,
        )
        if view is not None:
            return self._decision(service, view, now_s)
        raise NoEndpointError(
            f"no {route.service} endpoint is available in pool {route.pool}",
            retry_after_s=RETRY_AFTER_S,
        )

    def record_result(
        self, view: EndpointView, now_s: float, *, failed: bool
    ) -> bool:
        """Record the result of a request.

        Returns
        -------
        bool
            True if the endpoint was quarantined or became ready again.
        """
        if self.views.get(view.key) is not view:
            return False
        service = self._service(view.pool, view.service)
        return service.record_result(view, now_s, failed=failed)

    def _draw_views(
        self,
        service: ServiceEndpoints,
        route: Route,
        excluded: set[str],
        now_s: float,
        *,
        allow_far: bool,
    ) -> list[EndpointView]:
        policy = SELECTION_POLICIES[route.policy]
        fresh_after_s = now_s - REPORT_TIMEOUT_S
        tiers = [
            (name, tier)
            for name, tier in service.tiers.items()
            if len(tier) and (allow_far or name != "far")
        ]
        for name, tier in tiers:
            view = tier.draw(
                policy,
                self._rng,
                excluded,
                fresh_after_s,
                now_s,
                self.entry_count,
            )
            if view is not None and view.load(now_s) < SPILLOVER_LOADS[name]:
                return [view]
        overloaded = []
        for _, tier in tiers:
            for _ in range(OVERLOAD_DRAWS_PER_TIER):
                view = tier.draw(
                    choose_random,
                    self._rng,
                    excluded,
                    fresh_after_s,
                    now_s,
                    self.entry_count,
                )
                if view is not None:
                    overloaded.append(view)
        return overloaded

    def _decision(
        self, service: ServiceEndpoints, view: EndpointView, now_s: float
    ) -> RouteDecision:
        view.chosen_count += 1
        tier = service.tier_of(view)
        candidates = len(service.tiers[tier])
        return RouteDecision(view, tier, candidates, view.load(now_s))

    def _service(self, pool: str, service: str) -> ServiceEndpoints:
        endpoints = self._services.get((pool, service))
        if endpoints is None:
            endpoints = ServiceEndpoints(
                self._entry, self.data_centre, self.region
            )
            self._services[pool, service] = endpoints
        return endpoints

    def _remove_if_moved(
        self, view: EndpointView, report: AgentReport
    ) -> None:
        if view.state is EndpointState.JOINING:
            return
        old = (view.pool, view.data_centre, view.region)
        if old != (report.pool, report.data_centre, report.region):
            self._service(view.pool, view.service).remove(view)

    def _remove(self, key: str) -> None:
        view = self.views.pop(key)
        self._service(view.pool, view.service).remove(view)
