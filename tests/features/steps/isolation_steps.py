from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from cell_leader_steps import deliver_report
from cell_leader_steps import report
from long_backlog_steps import NoChannel
import msgspec
from platform_path_steps import job_body
from platform_path_steps import JOB_ID
from platform_path_steps import run
from platform_path_steps import wait_until

from yuccapoint.cell import cell_records
from yuccapoint.cell.cell_leader import CellLeader
from yuccapoint.cell.cell_messages import RelayResult
from yuccapoint.cell.cell_view import CellView
from yuccapoint.cell.occurrence_state import OccurrenceState
from yuccapoint.cell.occurrence_state import Outcome
from yuccapoint.cell.occurrence_state import Phase
from yuccapoint.cell.occurrence_state import TaskState
from yuccapoint.cell.queue_rules import QueueRules
from yuccapoint.connection.cell_store import StoreRecordsExpiredError
from yuccapoint.connection.cell_store import StoreResponseLostError
from yuccapoint.connection.newest_page import NewestPage
from yuccapoint.platform.config_feed import ConfigFeed
from yuccapoint.platform.job_body import decode_job
from yuccapoint.process.cell_job_gateway import CellJobGateway
from yuccapoint.process.cell_tail import CellTail
from yuccapoint.process.group_appender import GroupAppender
from yuccapoint.process.job_lookups import JobLookups
from yuccapoint.process.metrics import Metrics
from yuccapoint.process.process_logger import ProcessLogger

if TYPE_CHECKING:
    from behave.runner import Context

OTHER_JOB_ID = "00000000000000dd"


@when("the next {count:d} scheduling rounds of the leader fail")
def fail_rounds(context: Context, count: int) -> None:
    left = [count]
    tick = CellLeader.tick

    def failing(leader: CellLeader, now_s: float, wall_ms: int) -> None:
        if left[0]:
            left[0] -= 1
            raise RuntimeError("raised by the test")
        tick(leader, now_s, wall_ms)

    CellLeader.tick = failing
    context.cleanups.append(lambda: setattr(CellLeader, "tick", tick))

    async def wait() -> None:
        assert await wait_until(lambda: not left[0], 5)

    run(context, wait())


@when("the store holds a job whose stored state names an unknown worker")
def store_bad_job(context: Context) -> None:
    rules = QueueRules("q", "pool")
    job = decode_job(job_body(1, 1), OTHER_JOB_ID, rules, 1)
    store = context.deployment.store
    claimed = TaskState(1, Phase.CLAIMED, instance=7)
    state = OccurrenceState(Outcome.OPEN, [], [[claimed]])
    key = cell_records.progress_key(OTHER_JOB_ID, 0)
    store.put("keyed.cell", key, cell_records.encode(state))
    key = cell_records.SUBMISSION + OTHER_JOB_ID
    store.put("keyed.cell", key, cell_records.encode(job))


@when("the leader loads the stored jobs again")
def reload(context: Context) -> None:
    async def play() -> None:
        entry = context.deployment.entries[0]
        assert await wait_until(lambda: entry.view.find(OTHER_JOB_ID), 5)
        entry._step_down("the test reloads it")
        assert await wait_until(lambda: entry.leader is not None, 5)

    run(context, play())


@then("no process has failed")
def none_failed(context: Context) -> None:
    for entry in context.deployment.entries:
        assert not entry.failed.is_set()
    for agent in context.deployment.agents:
        assert not agent.failed.is_set()


class ForgetfulStore:
    """Returns the newest records, and no record by its offset."""

    def __init__(self) -> None:
        self.reads = 0

    async def read_newest(self, _after: str = "") -> NewestPage:
        self.reads += 1
        await asyncio.sleep(0.001)
        return NewestPage([], 5, has_more=False)

    async def read(self, from_offset: int, wait_ms: int):
        del from_offset, wait_ms
        raise StoreRecordsExpiredError("raised by the test")


@given("a store that refuses each offset as expired")
def forgetful(context: Context) -> None:
    context.stores = [ForgetfulStore(), ForgetfulStore()]


@when("the cell and the config are followed for {seconds:d} s")
def follow_both(context: Context, seconds: int) -> None:
    logger = ProcessLogger("entry")
    cell_store, config_store = context.stores
    tail = CellTail(
        cell_store, CellView(), lambda _: None, lambda: None, logger
    )
    feed = ConfigFeed(config_store, lambda _: None, logger)

    async def play() -> None:
        tasks = [
            asyncio.ensure_future(tail.run()),
            asyncio.ensure_future(feed.run()),
        ]
        await asyncio.sleep(seconds)
        for task in tasks:
            assert not task.done(), task
            task.cancel()

    run(context, play())


@then("each was read between {least:d} and {most:d} times")
def read_times(context: Context, least: int, most: int) -> None:
    for store in context.stores:
        assert least <= store.reads <= most, store.reads


@when("the agent reports that its worker drains")
def drains(context: Context) -> None:
    message = report("vm-0", 5)
    worker = msgspec.structs.replace(message.worker, draining=True)
    message = msgspec.structs.replace(message, worker=worker)
    deliver_report(context.leader, message, context.now_s)


@when("the agent restarts and reports the worker as ready")
def restarted(context: Context) -> None:
    message = report("vm-0", 1, incarnation=2)
    deliver_report(context.leader, message, context.now_s)


class SilentStore:
    """Answers no append."""

    def __init__(self) -> None:
        self.appends = 0

    async def append(self, records, **options) -> int:
        del records, options
        self.appends += 1
        raise StoreResponseLostError("raised by the test")


class UnknownRelay:
    """Reaches no peer."""

    reaches_leader = False

    async def append(self, key, value, timeout_s) -> RelayResult:
        del key, value, timeout_s
        return RelayResult.UNKNOWN


@given("a store that answers no append for {seconds:d} s")
def silent_store(context: Context, seconds: int) -> None:
    del seconds
    context.store = SilentStore()


@when("a caller's record is appended with {seconds:d} s left")
def append_record(context: Context, seconds: int) -> None:
    logger = ProcessLogger("entry")
    view = CellView()
    tail = CellTail(context.store, view, lambda _: None, lambda: None, logger)
    gateway = CellJobGateway(
        view,
        tail,
        GroupAppender(context.store),
        UnknownRelay(),
        JobLookups(view, tail, NoChannel(), list, logger),
        logger,
        Metrics(),
    )
    rules = QueueRules("q", "pool")
    job = decode_job(job_body(1, 1), JOB_ID, rules, 1)

    async def submit() -> None:
        context.outcome = await gateway.submit(job, time.monotonic() + seconds)

    run(context, submit())


@then('the store got at most {most:d} appends and the outcome is "{outcome}"')
def few_appends(context: Context, most: int, outcome: str) -> None:
    assert context.store.appends <= most, context.store.appends
    assert context.outcome.value == outcome, context.outcome
