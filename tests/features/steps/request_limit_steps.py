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
FAR_DEADLINE_S = 100.0


@given(
    "an admission of {slots:d} slots and {connections:d} connections filled "
    'by "{customer}"'
)
def filled(
    context: Context, slots: int, connections: int, customer: str
) -> None:
    context.admission = Admission(slots, connections)
    maximum = connections if customer == "flood" else slots + 1
    for number in range(maximum):
        request = SlotRequest(f"{customer}-{number}", customer, FAR_DEADLINE_S)
        context.admission.admit_or_queue(request, 0.0)


@when('the admission gets {count:d} requests of "{customer}"')
def admit_or_queue(context: Context, count: int, customer: str) -> None:
    for number in range(count):
        request = SlotRequest(f"{customer}-{number}", customer, FAR_DEADLINE_S)
        context.admission.admit_or_queue(request, 0.0)


@when(
    'the admission gets requests of "{customer}" with deadlines '
    "{a:d}, {b:d} and {c:d}"
)
def queue_deadlines(
    context: Context, customer: str, a: int, b: int, c: int
) -> None:
    for deadline_s in (a, b, c):
        request = SlotRequest(f"{customer}-{deadline_s}", customer, deadline_s)
        context.admission.admit_or_queue(request, 0.0)


@when('the admission gets a request of "{customer}" that has {left:g} s left')
def queue_late(context: Context, customer: str, left: float) -> None:
    admission = context.admission
    for number in range(20):
        admission.finish(next(iter(admission.running)), number + 1.0)
        request = SlotRequest(f"more-{number}", customer, FAR_DEADLINE_S)
        admission.admit_or_queue(request, number + 1.0)
        admission.start_next(number + 1.0)
    try:
        admission.admit_or_queue(
            SlotRequest("late", customer, 20.0 + left), 20.0
        )
    except RequestError as error:
        context.error = error


def _starts(context: Context, count: int) -> list[SlotRequest]:
    started = []
    while len(started) < count:
        for key in list(context.admission.running):
            context.admission.finish(key, 0.01)
        request = context.admission.start_next(0.01)
        if request is not None:
            started.append(request)
    return started


@then('{count:d} queued requests of "{customer}" were evicted')
def were_evicted(context: Context, count: int, customer: str) -> None:
    evicted = context.admission.pop_evicted()
    assert [t.customer for t in evicted] == [customer] * count


@then(
    'the next {count:d} starts of the admission alternate between "{a}" '
    'and "{b}"'
)
def alternate(context: Context, count: int, a: str, b: str) -> None:
    started = [request.customer for request in _starts(context, count)]
    assert started == [a, b] * (count // 2), started


@then(
    'the admission starts those of "{customer}" with deadlines {a:d}, '
    "{b:d} and {c:d}"
)
def start_order(
    context: Context, customer: str, a: int, b: int, c: int
) -> None:
    started = [t.deadline_s for t in _starts(context, 4)]
    assert [d for d in started if d != FAR_DEADLINE_S] == [a, b, c], started
    del customer


@then('the admission rejects it with {reason}, "{verdict}" and a retry time')
def rejected(context: Context, reason: str, verdict: str) -> None:
    assert type(context.error).__name__ == reason
    assert context.error.verdict.value == verdict
    assert context.error.retry_after_s > 0


@when(
    "a customer limited to {rate:d}/s sends 3 entries {a:d}, {b:d} and "
    "{c:d} requests/s for {time:d} s"
)
def send_to_entries(
    context: Context, rate: int, a: int, b: int, c: int, time: int
) -> None:
    entries = [CustomerRateLimiter() for _ in range(3)]
    due_requests = [0.0, 0.0, 0.0]
    context.admitted = 0
    for step in range(int(time / STEP_S)):
        now_s = 100.0 + step * STEP_S
        if step % 1_000 == 0:
            _exchange_demand(entries, now_s)
        for index, sent_per_s in enumerate((a, b, c)):
            due_requests[index] += sent_per_s * STEP_S
            while due_requests[index] >= 1.0:
                due_requests[index] -= 1.0
                try:
                    entries[index].consume("c/r", rate, 3, now_s)
                except OverloadedError as error:
                    assert error.retry_after_s > 0
                    continue
                context.admitted += step * STEP_S >= 5.0
    context.measured_s = time - 5.0


def _exchange_demand(entries: list[CustomerRateLimiter], now_s: float) -> None:
    for index, entry in enumerate(entries):
        for other in entries:
            if other is not entry:
                other.on_peer_demand(
                    f"entry-{index}", entry.demand(now_s), now_s
                )


@then(
    "its admitted rate after 5 s is between {minimum:d} and {maximum:d} "
    "requests/s"
)
def admitted_rate(context: Context, minimum: int, maximum: int) -> None:
    rate = context.admitted / context.measured_s
    assert minimum <= rate <= maximum, rate


@when(
    "responses of {size:d} bytes use a link of {rate:d} bytes/s "
    "whenever allowed for {time:d} s"
)
def use_link(context: Context, size: int, rate: int, time: int) -> None:
    context.link = RegionLinkBudget(rate)
    for step in range(int(time / STEP_S)):
        if context.link.wait_s(1, step * STEP_S) <= 0:
            context.link.consume(size)


@then("at most {maximum:d} bytes were sent over the link")
def sent_at_most(context: Context, maximum: int) -> None:
    assert 0 < context.link.used_bytes <= maximum, context.link.used_bytes


@given(
    "an entry with a limit of {limit:d} requests that one customer fills "
    "up to its share"
)
def fill_entry(context: Context, limit: int) -> None:
    context.in_flight = InFlightLimit(limit)
    try:
        for _ in range(limit):
            context.in_flight.acquire("flood")
    except OverloadedError:
        return


@then("another customer can still send {count:d} requests to the entry")
def send_more(context: Context, count: int) -> None:
    for _ in range(count):
        context.in_flight.acquire("victim")
