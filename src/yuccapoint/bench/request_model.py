"""A pool under load in virtual time that uses the real decision logic."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import Any
from typing import TYPE_CHECKING

from yuccapoint.bench.model_request import ModelRequest
from yuccapoint.bench.model_request import RequestOutcome
from yuccapoint.connection.messages import AgentReport
from yuccapoint.connection.messages import EndpointReport
from yuccapoint.job.size import Size
from yuccapoint.request.admission import Admission
from yuccapoint.request.exceptions import RequestError
from yuccapoint.request.retry_budget import RetryBudget
from yuccapoint.request.router import Router
from yuccapoint.request.slot_request import SlotRequest
from yuccapoint.version.route import Route

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.request.endpoint_view import EndpointView

VM_COUNT = 11
ENTRY_COUNT = 3
SLOTS_PER_ENDPOINT = 8
CONNECTIONS_PER_ENDPOINT = 64
REPORT_INTERVAL_S = 1.0
SAME_REGION_HOP_S = 0.001
CROSS_REGION_HOP_S = 0.008
FAILURE_RESPONSE_S = 0.0005
MAX_BACKOFF_S = 0.005
# Data centre and region, assigned in turn to entries and endpoints.
LOCATIONS = (("a", "r"), ("b", "r"), ("c", "s"))
POOL = "pool"
SERVICE = "service"


class ModelEndpoint:
    """One endpoint: its admission, its slowdown and its failures."""

    def __init__(self, number: int, slowdown: float) -> None:
        self.name = f"vm-{number}"
        self.location = number % len(LOCATIONS)
        self.admission = Admission(
            SLOTS_PER_ENDPOINT, CONNECTIONS_PER_ENDPOINT
        )
        self.slowdown = slowdown
        self.failing = False
        self.waiting: dict[str, ModelRequest] = {}


class RequestModel:
    """Simulates entries, agents and callers in virtual time.

    Parameters
    ----------
    policy : str
        Endpoint choice policy of the route.
    work_s : float
        Mean service time.
    seed : int
        Seed of load, service times and endpoint choices.
    retry_ratio : float
        Retries that each request adds to the retry budget.
    """

    def __init__(
        self, policy: str, work_s: float, seed: int, retry_ratio: float = 0.1
    ) -> None:
        self.now_s = 100.0
        self.attempts = 0
        self.requests = 0
        self.outcomes: list[RequestOutcome] = []
        self._work_s = work_s
        self._load_rng = random.Random(seed)
        self._rng = random.Random(seed + 1)
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._event_numbers = itertools.count()
        self._route = Route(
            name="route",
            prefix="/",
            service=SERVICE,
            pool=POOL,
            idempotent=True,
            policy=policy,
            retry_ratio=retry_ratio,
        )
        slowdown_rng = random.Random(seed + 2)
        self.endpoints = [
            ModelEndpoint(number, slowdown_rng.choice((1.0, 1.0, 1.5, 2.0)))
            for number in range(VM_COUNT)
        ]
        self._endpoints_by_name = {e.name: e for e in self.endpoints}
        self._routers = [
            Router(
                *LOCATIONS[entry],
                random.Random(seed + entry),
                f"entry-{entry}",
            )
            for entry in range(ENTRY_COUNT)
        ]
        self._budgets: dict[tuple[int, str], RetryBudget] = {}
        self._retry_ratio = retry_ratio
        for number, endpoint in enumerate(self.endpoints):
            first_s = self.now_s - number * REPORT_INTERVAL_S / VM_COUNT
            self._report(endpoint, first_s)

    @property
    def capacity_per_s(self) -> float:
        """Requests per second that all endpoints serve at their slowdown."""
        total = sum(1.0 / endpoint.slowdown for endpoint in self.endpoints)
        return total * SLOTS_PER_ENDPOINT / self._work_s

    def schedule_load(
        self,
        customer: str,
        rate_per_s: float,
        from_s: float,
        until_s: float,
        rng: random.Random | None = None,
    ) -> None:
        """Schedule requests of a customer; times are relative to now.

        Phases with equal ``rng`` get equal requests and can be compared.
        """
        rng = rng or self._load_rng
        at_s = self.now_s + from_s
        end_s = self.now_s + until_s
        while True:
            at_s += rng.expovariate(rate_per_s)
            if at_s >= end_s:
                return
            self.requests += 1
            request = ModelRequest(
                f"{customer}-{self.requests}",
                customer,
                at_s,
                rng.expovariate(1.0 / self._work_s),
                rng.randrange(ENTRY_COUNT),
            )
            self._schedule(at_s, self._send_attempt, request)

    def run(self, for_s: float) -> None:
        """Advance virtual time and process the events that are due."""
        until_s = self.now_s + for_s
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action, argument = heapq.heappop(self._events)
            action(argument)
        self.now_s = until_s

    def _schedule(
        self, at_s: float, action: Callable[..., None], argument: Any
    ) -> None:
        heapq.heappush(
            self._events, (at_s, next(self._event_numbers), action, argument)
        )

    def _report(self, endpoint: ModelEndpoint, at_s: float = 0.0) -> None:
        now_s = at_s or self.now_s
        data_centre, region = LOCATIONS[endpoint.location]
        admission = endpoint.admission
        report = AgentReport(
            vm=endpoint.name,
            incarnation=1,
            sequence=1,
            term=1,
            requested_leader="",
            leader="",
            pool=POOL,
            data_centre=data_centre,
            region=region,
            rack="",
            control_address="",
            session_address="",
            capacity=Size(),
            free=Size(),
            ready=True,
            stopping=False,
            tables_version=1,
            endpoints=[
                EndpointReport(
                    "e",
                    SERVICE,
                    "ready",
                    SLOTS_PER_ENDPOINT,
                    len(admission.running),
                    admission.queued,
                    admission.service_time_s,
                )
            ],
            tasks=[],
        )
        for router in self._routers:
            router.on_report(report, now_s)
        self._schedule(now_s + REPORT_INTERVAL_S, self._report, endpoint)

    def _send_attempt(self, request: ModelRequest) -> None:
        if not request.tried_endpoints:
            self._retry_budget(request).deposit()
        router = self._routers[request.entry]
        self.attempts += 1
        try:
            decision = router.choose(
                self._route,
                request.tried_endpoints,
                self.now_s,
                customer=request.customer,
            )
        except RequestError:
            self._record_outcome(request, refused=True)
            return
        view = decision.view
        request.tried_endpoints.add(view.key)
        view.add_request(request.customer)
        hop_s = self._hop_s(request, view)
        self._schedule(self.now_s + hop_s, self._arrive, (request, view))

    def _retry_budget(self, request: ModelRequest) -> RetryBudget:
        return self._budgets.setdefault(
            (request.entry, request.customer), RetryBudget(self._retry_ratio)
        )

    def _hop_s(self, request: ModelRequest, view: EndpointView) -> float:
        region = LOCATIONS[request.entry][1]
        return (
            SAME_REGION_HOP_S if view.region == region else CROSS_REGION_HOP_S
        )

    def _arrive(self, attempt: tuple[ModelRequest, EndpointView]) -> None:
        request, view = attempt
        endpoint = self._endpoints_by_name[view.vm]
        if endpoint.failing:
            at_s = self.now_s + FAILURE_RESPONSE_S
            self._schedule(at_s, self._on_failure, attempt)
            return
        slot_request = SlotRequest(
            request.key, request.customer, request.deadline_s
        )
        try:
            started = endpoint.admission.admit_or_queue(
                slot_request, self.now_s
            )
        except RequestError:
            self._refuse(request, view)
            return
        if started:
            self._start_service(request, view, endpoint)
        else:
            endpoint.waiting[request.key] = request
        self._refuse_dropped(endpoint, view)

    def _start_service(
        self,
        request: ModelRequest,
        view: EndpointView,
        endpoint: ModelEndpoint,
    ) -> None:
        service_s = request.work_s * endpoint.slowdown
        self._schedule(
            self.now_s + service_s, self._finish_service, (request, view)
        )

    def _finish_service(
        self, attempt: tuple[ModelRequest, EndpointView]
    ) -> None:
        request, view = attempt
        endpoint = self._endpoints_by_name[view.vm]
        endpoint.admission.finish(request.key, self.now_s)
        self._schedule(
            self.now_s + self._hop_s(request, view), self._on_answer, attempt
        )
        self._refuse_dropped(endpoint, view)
        while True:
            slot_request = endpoint.admission.start_next(self.now_s)
            if slot_request is None:
                return
            waiting = endpoint.waiting.pop(slot_request.request_key)
            entry_view = self._routers[waiting.entry].views[view.key]
            self._start_service(waiting, entry_view, endpoint)

    def _refuse_dropped(
        self, endpoint: ModelEndpoint, view: EndpointView
    ) -> None:
        dropped = endpoint.admission.expire(self.now_s)
        dropped += endpoint.admission.pop_evicted()
        for slot_request in dropped:
            request = endpoint.waiting.pop(slot_request.request_key)
            entry_view = self._routers[request.entry].views[view.key]
            self._refuse(request, entry_view)

    def _refuse(self, request: ModelRequest, view: EndpointView) -> None:
        at_s = self.now_s + self._hop_s(request, view)
        self._schedule(at_s, self._on_refused, (request, view))

    def _on_refused(self, attempt: tuple[ModelRequest, EndpointView]) -> None:
        self._record_result(attempt, failed=False)
        self._retry(attempt[0])

    def _on_failure(self, attempt: tuple[ModelRequest, EndpointView]) -> None:
        self._record_result(attempt, failed=True)
        self._retry(attempt[0])

    def _on_answer(self, attempt: tuple[ModelRequest, EndpointView]) -> None:
        request, _ = attempt
        self._record_result(attempt, failed=False)
        self._record_outcome(
            request, answered=self.now_s <= request.deadline_s
        )

    def _record_result(
        self, attempt: tuple[ModelRequest, EndpointView], *, failed: bool
    ) -> None:
        request, view = attempt
        view.remove_request(request.customer)
        admission = self._endpoints_by_name[view.vm].admission
        load = len(admission.running) + admission.queued
        view.record_load(load, self.now_s)
        router = self._routers[request.entry]
        router.record_result(view, self.now_s, failed=failed)

    def _retry(self, request: ModelRequest) -> None:
        wait_s = self._rng.uniform(0, MAX_BACKOFF_S)
        past_deadline = self.now_s + wait_s >= request.deadline_s
        if past_deadline or not self._retry_budget(request).withdraw():
            self._record_outcome(request, refused=True)
            return
        self._schedule(self.now_s + wait_s, self._send_attempt, request)

    def _record_outcome(
        self,
        request: ModelRequest,
        *,
        answered: bool = False,
        refused: bool = False,
    ) -> None:
        outcome = RequestOutcome(
            request, self.now_s, answered=answered, refused=refused
        )
        self.outcomes.append(outcome)
