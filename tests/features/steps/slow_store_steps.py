from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from long_backlog_steps import NoChannel
from platform_path_steps import job_body
from platform_path_steps import run

from yuccapoint.cell import cell_records
from yuccapoint.cell.cell_messages import RelayResult
from yuccapoint.cell.cell_view import CellView
from yuccapoint.cell.queue_rules import QueueRules
from yuccapoint.connection.cell_store import StoreResponseLostError
from yuccapoint.platform.job_body import decode_job
from yuccapoint.process.cell_job_gateway import CellJobGateway
from yuccapoint.process.cell_tail import CellTail
from yuccapoint.process.group_appender import GroupAppender
from yuccapoint.process.job_lookups import JobLookups
from yuccapoint.process.metrics import Metrics
from yuccapoint.process.process_logger import ProcessLogger
from yuccapoint.process.steady_clock import steady_s

if TYPE_CHECKING:
    from behave.runner import Context


class SerialStore:
    """Takes a fixed time for each append, one at a time."""

    def __init__(self, append_s: float) -> None:
        self.append_s = append_s
        self.silent_appends = 0
        self.sent: list[list[str]] = []
        self._free_at_s = 0.0

    async def append(self, records, *, timeout_s: float = 0.0) -> int:
        self.sent.append([key for key, _ in records])
        if len(self.sent) <= self.silent_appends:
            await asyncio.sleep(timeout_s)
            raise StoreResponseLostError("no answer")
        now_s = time.monotonic()
        self._free_at_s = max(self._free_at_s, now_s) + self.append_s
        await asyncio.sleep(self._free_at_s - now_s)
        return 0


class Relay:
    """Passes records on to a leader, if there is one."""

    def __init__(self) -> None:
        self.reaches_leader = False
        self.relayed: list[str] = []

    async def append(self, key, value, timeout_s) -> RelayResult:
        del value, timeout_s
        if not self.reaches_leader:
            return RelayResult.REFUSED
        self.relayed.append(key)
        await asyncio.sleep(0.001)
        return RelayResult.APPENDED


def _set_up(context: Context, store: SerialStore) -> None:
    context.store = store
    context.relay = Relay()
    context.outcomes = {}
    context.last_read_at_s = steady_s()
    context.gateway = None


@given("a store that takes {milliseconds:d} ms for an append, one at a time")
def slow_store(context: Context, milliseconds: int) -> None:
    _set_up(context, SerialStore(milliseconds / 1_000))


@given("a store that never answers the first append")
def silent_store(context: Context) -> None:
    _set_up(context, SerialStore(0.001))
    context.store.silent_appends = 1


@given("a store that answers no append in time")
def unanswering_store(context: Context) -> None:
    _set_up(context, SerialStore(0.001))
    context.store.silent_appends = 1_000


@given("a leader that appends relayed records")
def leader(context: Context) -> None:
    context.relay.reaches_leader = True


@given("reads of the store have failed for {seconds:d} s")
def reads_failed(context: Context, seconds: int) -> None:
    context.last_read_at_s = steady_s() - seconds


@when("reads of the store succeed again")
def reads_succeed(context: Context) -> None:
    context.tail.last_read_at_s = steady_s()


def _gateway(context: Context) -> CellJobGateway:
    logger = ProcessLogger("entry")
    view = CellView()
    tail = CellTail(context.store, view, lambda _: None, lambda: None, logger)
    tail.loaded = True
    tail.last_read_at_s = context.last_read_at_s
    context.tail = tail
    return CellJobGateway(
        view,
        tail,
        GroupAppender(context.store),
        context.relay,
        JobLookups(view, tail, NoChannel(), list, logger),
        logger,
        Metrics(),
    )


def _append(
    context: Context, count: int, milliseconds: int, left_s: float
) -> None:
    context.gateway = gateway = context.gateway or _gateway(context)
    first = len(context.outcomes)
    rules = QueueRules("q", "pool")

    async def submit(index: int) -> None:
        number = first + index
        await asyncio.sleep(index * milliseconds / 1_000 / count)
        job = decode_job(job_body(1, 1), f"{number:016x}", rules, 1)
        began_s = time.monotonic()
        result = await gateway.submit(job, began_s + left_s)
        took_s = time.monotonic() - began_s
        context.outcomes[number] = (result.value, took_s)

    async def play() -> None:
        await asyncio.gather(*(submit(number) for number in range(count)))

    run(context, play())


@when("{count:d} records are appended in {milliseconds:d} ms")
def append_records(context: Context, count: int, milliseconds: int) -> None:
    _append(context, count, milliseconds, 3.0)


@when(
    "{count:d} records are appended in {milliseconds:d} ms"
    " with {seconds:d} s left"
)
def append_in_time(
    context: Context, count: int, milliseconds: int, seconds: int
) -> None:
    _append(context, count, milliseconds, float(seconds))


@when("the first record is submitted again")
def submit_again(context: Context) -> None:
    rules = QueueRules("q", "pool")
    job = decode_job(job_body(1, 1), f"{0:016x}", rules, 1)
    assert context.outcomes[0][0] == "may-be-accepted", context.outcomes

    # While it probes the store, others are refused at once.
    probe = decode_job(job_body(1, 1), f"{99:016x}", rules, 1)

    async def submit() -> None:
        began_s = time.monotonic()
        probing = asyncio.ensure_future(
            context.gateway.submit(probe, began_s + 0.3)
        )
        await asyncio.sleep(0.02)
        result = await context.gateway.submit(job, began_s + 1.0)
        context.outcomes[0] = (result.value, time.monotonic() - began_s)
        await probing

    run(context, submit())


@then(
    "all are accepted within {milliseconds:d} ms with at most {most:d} appends"
)
def all_accepted(context: Context, milliseconds: int, most: int) -> None:
    assert {result for result, _ in context.outcomes.values()} == {"accepted"}
    slowest_s = max(took_s for _, took_s in context.outcomes.values())
    assert slowest_s * 1_000 <= milliseconds, slowest_s
    assert len(context.store.sent) <= most, len(context.store.sent)


@then("at least {least:d} are refused within {milliseconds:d} ms")
def refused_at_once(context: Context, least: int, milliseconds: int) -> None:
    refused = [
        took_s
        for result, took_s in context.outcomes.values()
        if result == "refused" and took_s * 1_000 <= milliseconds
    ]
    assert len(refused) >= least, context.outcomes


@then("the last is accepted within {milliseconds:d} ms")
def last_accepted(context: Context, milliseconds: int) -> None:
    result, took_s = context.outcomes[max(context.outcomes)]
    assert result == "accepted", result
    assert took_s * 1_000 <= milliseconds, took_s


@then('the first outcome is "{outcome}"')
def first_outcome(context: Context, outcome: str) -> None:
    assert context.outcomes[0][0] == outcome, context.outcomes


@then('an outcome is "refused" only if its record was never sent')
def refused_if_unsent(context: Context) -> None:
    sent = {key for keys in context.store.sent for key in keys}
    assert sent, "nothing was sent"
    for number, (outcome, _) in context.outcomes.items():
        key = f"{cell_records.SUBMISSION}{number:016x}"
        expected = "may-be-accepted" if key in sent else "refused"
        assert outcome == expected, (number, outcome, expected)


@then("the last was relayed to the leader")
def last_relayed(context: Context) -> None:
    last = f"{cell_records.SUBMISSION}{max(context.outcomes):016x}"
    assert last in context.relay.relayed, context.relay.relayed


@then("none was relayed to the leader")
def none_relayed(context: Context) -> None:
    assert not context.relay.relayed, context.relay.relayed
