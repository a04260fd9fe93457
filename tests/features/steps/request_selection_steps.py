from __future__ import annotations

import random
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from yuccapoint.connection.messages import AgentReport
from yuccapoint.connection.messages import EndpointReport
from yuccapoint.job.size import Size
from yuccapoint.request.router import Router
from yuccapoint.version.route import Route

if TYPE_CHECKING:
    from behave.runner import Context

    from yuccapoint.request.endpoint_view import EndpointView

SEED = 5
SLOTS = 8
PLACES = (("a", "r"), ("b", "r"), ("c", "s"))
ROUTE = Route(
    name="r", prefix="/", service="quotes", pool="p", idempotent=True
)


def build_report(
    number: int,
    sequence: int = 1,
    state: str = "ready",
    in_flight: int = 0,
    place: int = 0,
) -> AgentReport:
    """Build the report of a VM with one endpoint."""
    data_centre, region = PLACES[place]
    endpoint = EndpointReport("e", "quotes", state, SLOTS, in_flight, 0)
    return AgentReport(
        vm=f"vm-{number}",
        incarnation=1,
        sequence=sequence,
        term=1,
        requested_leader="",
        leader="",
        pool="p",
        data_centre=data_centre,
        region=region,
        rack="",
        control_address="",
        session_address=f"127.0.0.1:{number}",
        capacity=Size(),
        free=Size(),
        ready=True,
        stopping=False,
        tables_version=1,
        endpoints=[endpoint],
        tasks=[],
    )


def _report_all(context: Context, **fields: int | str) -> None:
    for number in range(context.count):
        place = number // 2 if context.all_tiers else 0
        report = build_report(number, place=place, **fields)
        context.router.on_report(report, context.now_s)


def _start(context: Context, count: int, *, all_tiers: bool) -> None:
    context.router = Router("a", "r", random.Random(SEED), "entry-1")
    context.count = count
    context.all_tiers = all_tiers
    context.now_s = 100.0
    context.chosen = []
    _report_all(context)


@given("a router with reports of {count:d} endpoints")
def start_in_one_tier(context: Context, count: int) -> None:
    _start(context, count, all_tiers=False)


@given("a router with reports of {count:d} endpoints, two in each tier")
def start_in_all_tiers(context: Context, count: int) -> None:
    _start(context, count, all_tiers=True)


@given("a router that shares {count:d} endpoints with {entry_count:d} entries")
def start_shared(context: Context, count: int, entry_count: int) -> None:
    _start(context, count, all_tiers=False)
    context.router.entry_count = entry_count
    context.before = _subset(context)


def _subset(context: Context) -> set[str]:
    service = context.router._service("p", "quotes")
    tier = service.tiers["data centre"]
    return {view.key for view in tier.subset(context.router.entry_count)}


def _send(
    context: Context, count: int, failing: set[str], step_s: float
) -> None:
    context.chosen = []
    for _ in range(count):
        context.now_s += step_s
        _report_all(context)
        view = context.router.choose(ROUTE, set(), context.now_s).view
        context.chosen.append(view)
        context.router.record_result(
            view, context.now_s, failed=view.key in failing
        )


def _view(context: Context, number: int) -> EndpointView:
    return context.router.views[f"vm-{number}/e"]


@when("endpoint {number:d} of the router fails during {count:d} requests")
def one_fails(context: Context, number: int, count: int) -> None:
    _send(context, count, {f"vm-{number}/e"}, 0.001)


@when(
    "endpoint {number:d} of the router succeeds during {count:d} requests in "
    "{time:d} seconds"
)
def one_succeeds(context: Context, number: int, count: int, time: int) -> None:
    del number
    _send(context, count, set(), time / count)


@when("all endpoints of the router fail during {count:d} requests")
def all_fail(context: Context, count: int) -> None:
    _send(context, count, set(context.router.views), 0.001)


@when('endpoint {number:d} of the router reports "{state}"')
def reports_state(context: Context, number: int, state: str) -> None:
    context.router.on_report(build_report(number, 2, state), context.now_s)


@when("an earlier report of endpoint {number:d} of the router arrives late")
def arrives_late(context: Context, number: int) -> None:
    context.router.on_report(build_report(number, 1), context.now_s)


@when(
    "all but endpoint {number:d} of the router are silent for {time:d} seconds"
)
def all_silent(context: Context, number: int, time: int) -> None:
    context.now_s += time
    context.router.on_report(build_report(number, 3), context.now_s)


@when('the router\'s tier "{tier}" is overloaded')
def tier_overloaded(context: Context, tier: str) -> None:
    place = ("data centre", "region", "far").index(tier)
    for number in (2 * place, 2 * place + 1):
        report = build_report(number, 2, "ready", 64, place)
        context.router.on_report(report, context.now_s)


@when("one endpoint leaves the router and another joins")
def one_leaves(context: Context) -> None:
    context.router.on_report(build_report(0, 2, "leaving"), context.now_s)
    context.router.on_report(build_report(context.count), context.now_s)


@then("fewer than {count:d} of them went to endpoint {number:d} of the router")
def requests_to(context: Context, count: int, number: int) -> None:
    view = _view(context, number)
    assert context.chosen.count(view) < count, context.chosen.count(view)


@then('endpoint {number:d} of the router is "{state}"')
def is_state(context: Context, number: int, state: str) -> None:
    assert _view(context, number).state.value == state


@then('at most {count:d} endpoints of the router are "{state}"')
def states_at_most(context: Context, count: int, state: str) -> None:
    views = context.router.views.values()
    found = sum(view.state.value == state for view in views)
    assert found <= count, found


@then("{count:d} choices of the router all select endpoint {number:d}")
def all_select_endpoint(context: Context, count: int, number: int) -> None:
    for _ in range(count):
        decision = context.router.choose(ROUTE, set(), context.now_s)
        assert decision.view is _view(context, number)


@then('{count:d} choices of the router all select tier "{tier}"')
def all_select_tier(context: Context, count: int, tier: str) -> None:
    for _ in range(count):
        decision = context.router.choose(ROUTE, set(), context.now_s)
        assert decision.tier == tier, decision.tier


@then("the router's subset of {size:d} differs in at most {most:d} endpoints")
def subset_differs(context: Context, most: int, size: int) -> None:
    after = _subset(context)
    assert len(after) == size, len(after)
    assert len(after ^ context.before) <= most
