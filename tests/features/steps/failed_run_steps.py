from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING
from unittest import mock

from behave import given
from behave import then
from behave import when

from yuccapoint.process.request_forwarder import RequestForwarder
from yuccapoint.request.exceptions import EndpointFailedError
from yuccapoint.request.exceptions import NoEndpointError
from yuccapoint.request.exceptions import RequestError
from yuccapoint.request.exceptions import SessionLostError
from yuccapoint.request.service_request import ServiceRequest
from yuccapoint.request.verdict import Verdict
from yuccapoint.version.route import Route

if TYPE_CHECKING:
    from behave.runner import Context

ROUTE = Route(
    name="r",
    prefix="/",
    service="s",
    pool="p",
    timeout_s=5.0,
    idempotent=True,
    retry_ratio=1.0,
)


class _Endpoints:
    """A router that knows endpoints which all fail in one way."""

    def __init__(self, count: int, error: RequestError) -> None:
        self.left = [f"vm-{n}/e" for n in range(count)]
        self.error = error
        self.tried: list[str] = []

    def choose(self, route, tried, now_s, *, allow_far, customer):
        del route, now_s, allow_far, customer
        for key in self.left:
            if key not in tried:
                decision = mock.MagicMock()
                decision.view.key = key
                return decision
        raise NoEndpointError("none left")

    async def send(self, request, decision):
        del request
        self.tried.append(decision.view.key)
        raise type(self.error)(str(self.error), self.error.verdict)

    def record_result(self, view, now_s, *, failed):
        del view, now_s, failed
        return False


@given("{count:d} endpoints that crash when they run a request")
def crashing(context: Context, count: int) -> None:
    context.endpoints = _Endpoints(count, EndpointFailedError("broken off"))


@given("{count:d} endpoints that refuse requests unread")
def refusing(context: Context, count: int) -> None:
    error = SessionLostError("not sent", Verdict.NOT_RUN)
    context.endpoints = _Endpoints(count, error)


@when("an idempotent request with a large retry budget is forwarded")
def forward(context: Context) -> None:
    endpoints = context.endpoints
    link = mock.MagicMock()
    link.wait_s.return_value = 0.0
    router = mock.MagicMock()
    router.choose = endpoints.choose
    router.record_result = endpoints.record_result
    forwarder = RequestForwarder(
        "e-0",
        1,
        router,
        random.Random(1),
        mock.MagicMock(),
        mock.MagicMock(),
        link,
    )
    request = ServiceRequest(
        "id", ROUTE, "customer", "GET", "/", [], time.monotonic()
    )
    for _ in range(20):
        forwarder._budget(request).deposit()
    context.error = None
    with mock.patch.object(forwarder, "_send", endpoints.send):
        try:
            context.loop.run_until_complete(forwarder.forward(request))
        except RequestError as error:
            context.error = error


@then('{count:d} endpoints ran it, and the caller is told "{verdict}"')
def ran_by(context: Context, count: int, verdict: str) -> None:
    assert len(context.endpoints.tried) == count, context.endpoints.tried
    assert context.error.verdict.value == verdict, context.error.verdict


@then("all endpoints were tried")
def all_tried(context: Context) -> None:
    tried = context.endpoints.tried
    assert sorted(tried) == sorted(context.endpoints.left), tried
