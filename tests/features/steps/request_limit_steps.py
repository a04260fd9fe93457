from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from yuccapoint.request.admission import Admission
from yuccapoint.request.admission import SlotRequest
from yuccapoint.request.customer_rate_limiter import CustomerRateLimiter
from yuccapoint.request.exceptions import OverloadedError
from yuccapoint.request.exceptions import RequestError
from yuccapoint.request.in_flight_limit import InFlightLimit
from yuccapoint.request.region_link_budget import RegionLinkBudget

if TYPE_CHECKING:
    from behave.runner import Context

STEP_S = 0.001
LATE_S = 100.0


@given(
    "an admission of {slots:d} slots and {connections:d} connections that "
    '"{customer}" has filled'
)
def filled(
    context: Context, slots: int, connections: int, customer: str
) -> None:
    context.admission = Admission(slots, connections)
    most = connections if customer == "flood" else slots + 1
    for number in range(most):
        request = SlotRequest(f"{customer}-{number}", customer, LATE_S)
        context.admission.admit_or_queue(request, 0.0)


@when('the admission is offered {count:d} requests of "{customer}"')
def admit_or_queue(context: Context, count: int, customer: str) -> None:
    for number in range(count):
        request = SlotRequest(f"{customer}-{number}", customer, LATE_S)
        context.admission.admit_or_queue(request, 0.0)


@when(
    'the admission is offered requests of "{customer}" with deadlines '
    "{a:d}, {b:d} and {c:d}"
)
def offer_deadlines(
    context: Context, customer: str, a: int, b: int, c: int
) -> None:
    for deadline_s in (a, b, c):
        request = SlotRequest(f"{customer}-{deadline_s}", customer, deadline_s)
        context.admission.admit_or_queue(request, 0.0)


@when(
    'the admission is offered a request of "{customer}" that has '
    "{left:g} s left"
)
def offer_late(context: Context, customer: str, left: float) -> None:
    admission = context.admission
    for number in range(20):
        admission.finish(next(iter(admission.running)), number + 1.0)
        request = SlotRequest(f"more-{number}", customer, LATE_S)
        admission.admit_or_queue(request, number + 1.0)
        admission.start_next(number + 1.0)
    try:
        admission.admit_or_queue(
            SlotRequest("late", customer, 20.0 + left), 20.0
        )
    except RequestError as error:
        context.error = error


def _starts(context: Context, count: int) -> list[SlotRequest]:
    found = []
    while len(found) < count:
        for key in list(context.admission.running):
            context.admission.finish(key, 0.01)
        request = context.admission.start_next(0.01)
        if request is not None:
            found.append(request)
    return found


@then('{count:d} waiting requests of "{customer}" were displaced')
def displaced(context: Context, count: int, customer: str) -> None:
    evicted = context.admission.pop_evicted()
    assert [t.customer for t in evicted] == [customer] * count


@then(
    'the next {count:d} starts of the admission take turns between "{a}" '
    'and "{b}"'
)
def take_turns(context: Context, count: int, a: str, b: str) -> None:
    found = [request.customer for request in _starts(context, count)]
    assert found == [a, b] * (count // 2), found


@then(
    'the admission starts those of "{customer}" with deadlines {a:d}, '
    "{b:d} and {c:d}"
)
def start_order(
    context: Context, customer: str, a: int, b: int, c: int
) -> None:
    found = [t.deadline_s for t in _starts(context, 4)]
    assert [d for d in found if d != LATE_S] == [a, b, c], found
    del customer


@then(
    'the admission refuses it as {reason} with "{verdict}" and when to '
    "come back"
)
def refused(context: Context, reason: str, verdict: str) -> None:
    assert type(context.error).__name__ == reason
    assert context.error.verdict.value == verdict
    assert context.error.retry_after_s > 0


@when(
    "a customer limited to {rate:d}/s asks 3 entries for {a:d}, {b:d} and "
    "{c:d} requests/s during {time:d} s"
)
def ask_entries(
    context: Context, rate: int, a: int, b: int, c: int, time: int
) -> None:
    entries = [CustomerRateLimiter() for _ in range(3)]
    owed = [0.0, 0.0, 0.0]
    context.admitted = 0
    for step in range(int(time / STEP_S)):
        now_s = 100.0 + step * STEP_S
        if step % 1_000 == 0:
            _tell(entries, now_s)
        for index, asked_per_s in enumerate((a, b, c)):
            owed[index] += asked_per_s * STEP_S
            while owed[index] >= 1.0:
                owed[index] -= 1.0
                try:
                    entries[index].consume("c/r", rate, 3, now_s)
                except OverloadedError as error:
                    assert error.retry_after_s > 0
                    continue
                context.admitted += step * STEP_S >= 5.0
    context.measured_s = time - 5.0


def _tell(entries: list[CustomerRateLimiter], now_s: float) -> None:
    for index, entry in enumerate(entries):
        for other in entries:
            if other is not entry:
                other.on_peer_demand(
                    f"entry-{index}", entry.demand(now_s), now_s
                )


@then(
    "its admitted rate after 5 s lies between {least:d} and {most:d} "
    "requests/s"
)
def admitted_rate(context: Context, least: int, most: int) -> None:
    rate = context.admitted / context.measured_s
    assert least <= rate <= most, rate


@when(
    "answers of {size:d} bytes cross a link of {rate:d} bytes/s whenever "
    "they may for {time:d} s"
)
def cross_link(context: Context, size: int, rate: int, time: int) -> None:
    context.link = RegionLinkBudget(rate)
    for step in range(int(time / STEP_S)):
        if context.link.wait_s(1, step * STEP_S) <= 0:
            context.link.consume(size)


@then("at most {most:d} bytes crossed the link")
def crossed_most(context: Context, most: int) -> None:
    assert 0 < context.link.used_bytes <= most, context.link.used_bytes


@given(
    "an entry that holds {limit:d} requests, filled by one customer as far "
    "as it can"
)
def fill_entry(context: Context, limit: int) -> None:
    context.in_flight = InFlightLimit(limit)
    try:
        for _ in range(limit):
            context.in_flight.acquire("flood")
    except OverloadedError:
        return


@then("another customer can still bring {count:d} requests to the entry")
def bring_more(context: Context, count: int) -> None:
    for _ in range(count):
        context.in_flight.acquire("victim")
