from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import msgspec
from platform_path_steps import config
from platform_path_steps import run
from platform_path_steps import wait_until

from soak.proxy import LinkState
from soak.proxy import Proxy
from yuccapoint.cell import cell_records
from yuccapoint.cell.cell_view import CellView
from yuccapoint.cell.queue_rules import QueueRules
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.cell.submission import Submission
from yuccapoint.connection.http_client import HttpClient
from yuccapoint.exceptions import YuccapointError
from yuccapoint.job.size import Size
from yuccapoint.platform.config_feed import ConfigFeed
from yuccapoint.platform.store_partition import StorePartition
from yuccapoint.process.cell_tail import CellTail
from yuccapoint.process.process_logger import ProcessLogger
from yuccapoint_standins.deployment import find_free_address
from yuccapoint_standins.platform_store import PlatformStore

if TYPE_CHECKING:
    from behave.runner import Context

    from yuccapoint.version.queue_table import QueueTable

TOPIC = "keyed.cell"
CONFIG_TOPIC = "keyed.op"
BYTES_PER_MBIT = 125_000
# Values of the newest records come in base64.
ENCODED_RATIO = 4 / 3
# Connection setup and the answers' heads.
FIXED_TIME_S = 1.0


class NarrowLink:
    """A store behind a link, and the readers of an entry behind it."""

    def __init__(self, mbit_per_s: float) -> None:
        self.bytes_per_s = mbit_per_s * BYTES_PER_MBIT
        self.store = PlatformStore()
        address = find_free_address()
        self.store.listen(address)
        self.proxy = Proxy(find_free_address(), address)
        self.client = HttpClient(self.proxy.address)
        self.view = CellView()
        self.tail = self._make_tail()
        self.table: QueueTable | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self.written = 0
        self.transfer_bytes = 0.0
        self.began_s = 0.0

    def _make_tail(self) -> CellTail:
        return CellTail(
            StorePartition(self.client, "cell", 0),
            self.view,
            lambda _: None,
            lambda: None,
            ProcessLogger("entry"),
        )

    async def start_proxy(self) -> None:
        await self.proxy.start()
        self.proxy.response_bytes_per_s = self.bytes_per_s

    def start(self, job) -> None:
        self.tasks.append(asyncio.ensure_future(job))

    def put(self, count: int, size: int = 1_000) -> None:
        """Write submissions of which each has about the given size."""
        for _ in range(count):
            job_id = job_id_of(self.written)
            self.written += 1
            step = StepSpec(1, Size(300, 2**20, 0), 1_500)
            job = Submission(
                job_id=job_id,
                queue=QueueRules("q", "pool", max_attempts=3),
                payload="x" * (size - 100),
                steps=(step,),
            )
            key = cell_records.SUBMISSION + job_id
            self.store.put(TOPIC, key, cell_records.encode(job))

    def begin(self) -> None:
        self.began_s = time.monotonic()
        self.proxy.response_bytes = 0

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.proxy.close()
        self.store.stop()


def job_id_of(number: int) -> str:
    return f"{number:016x}"


@given("a reader of the store behind a link of {mbit:d} Mbit/s")
def make_reader(context: Context, mbit: int) -> None:
    _make(context, 10, mbit)
    _load(context)


@given("a store with {count} keys of 1 kB behind a link of {mbit:d} Mbit/s")
def make_store(context: Context, count: str, mbit: int) -> None:
    _make(context, int(count), mbit)


@given("an entry that has loaded it")
def load_entry(context: Context) -> None:
    _load(context)


@given("a config feed behind the same link")
def make_feed(context: Context) -> None:
    link = context.link

    def install(table: QueueTable) -> None:
        link.table = table

    async def start() -> None:
        feed = ConfigFeed(
            StorePartition(HttpClient(link.proxy.address), "op", 0),
            install,
            ProcessLogger("entry"),
        )
        link.store.put(CONFIG_TOPIC, "config", config(2))
        link.start(feed.run())
        assert await wait_until(lambda: link.table is not None, 3.0)

    run(context, start())


def _make(context: Context, keys: int, mbit: int) -> None:
    context.link = NarrowLink(mbit)
    context.cleanups.append(context.link.close)
    context.link.put(keys)
    context.link.transfer_bytes = keys * 1_000 * ENCODED_RATIO
    run(context, context.link.start_proxy())


def _load(context: Context) -> None:
    link = context.link

    async def load() -> None:
        link.start(link.tail.run())
        assert await wait_until(lambda: link.tail.up_to_date, 10.0)

    run(context, load())


@given("the store {returns} the part of a record that fits")
def cut_pages(context: Context, returns: str) -> None:
    context.link.store.cut_pages = returns == "returns"


@when("it is away while {kb} kB of records are written")
def write_while_away(context: Context, kb: str) -> None:
    _write_while_away(context, int(kb), 1)


@when("it is away while a record of {kb:d} kB is written")
def write_large_while_away(context: Context, kb: int) -> None:
    _write_while_away(context, 1, kb)


def _write_while_away(context: Context, count: int, kb: int) -> None:
    link = context.link
    link.proxy.state = LinkState.DROP_RESPONSES
    link.proxy.reset_all()
    link.put(count, kb * 1_000)
    link.transfer_bytes = count * kb * 1_000.0
    link.proxy.state = LinkState.PASS
    link.begin()


@when(
    "an entry loads it while {callers:d} callers ask for jobs it doesn't know"
)
def load_beside_callers(context: Context, callers: int) -> None:
    link = context.link

    async def start() -> None:
        link.begin()
        link.start(link.tail.run())
        for _ in range(callers):
            link.start(_ask_again(link))

    run(context, start())


async def _ask_again(link: NarrowLink) -> None:
    while True:
        try:
            async with asyncio.timeout(3.0):
                await link.tail.catch_up()
        except (YuccapointError, TimeoutError):
            # The caller comes back.
            await asyncio.sleep(0.3)
        else:
            return


@when("an entry loads it and all connections are reset {seconds:f} s later")
def load_with_reset(context: Context, seconds: float) -> None:
    link = context.link

    async def load() -> None:
        link.begin()
        link.start(link.tail.run())
        await asyncio.sleep(seconds)
        assert not link.tail.loaded
        link.proxy.reset_all()

    run(context, load())


@when(
    "{kb:d} kB of records are written and {callers:d} callers ask for jobs it"
    " doesn't know"
)
def ask_together(context: Context, kb: int, callers: int) -> None:
    link = context.link
    link.transfer_bytes = kb * 1_000.0
    context.answers_s = []

    async def ask() -> None:
        await link.tail.catch_up()
        context.answers_s.append(time.monotonic() - link.began_s)

    async def ask_all() -> None:
        link.begin()
        link.put(kb)
        asked = [asyncio.ensure_future(ask()) for _ in range(callers)]
        await asyncio.wait(asked, timeout=12.0)
        context.failures = [
            task for task in asked if not task.done() or task.exception()
        ]
        for task in context.failures:
            task.cancel()

    run(context, ask_all())


@when("a config of {kb:d} kB is written")
def write_config(context: Context, kb: int) -> None:
    _write_configs(context, 1, kb)


@when("the feed is away while {count:d} configs of {kb:d} kB are written")
def write_configs_while_away(context: Context, count: int, kb: int) -> None:
    link = context.link
    link.proxy.state = LinkState.DROP_RESPONSES
    link.proxy.reset_all()
    _write_configs(context, count, kb)
    link.proxy.state = LinkState.PASS


def _write_configs(context: Context, count: int, kb: int) -> None:
    link = context.link
    for version in range(3, 3 + count):
        body = msgspec.json.decode(config(version))
        body["Padding"] = "x" * (kb * 1_000)
        link.store.put(CONFIG_TOPIC, "config", msgspec.json.encode(body))
    context.newest_version = 2 + count
    context.written_s = time.monotonic()


@then("it has read all of them within twice the time that the link needs")
@then("it has loaded all of them within twice the time that the link needs")
def has_read_all(context: Context) -> None:
    link = context.link
    limit_s = 2 * link.transfer_bytes / link.bytes_per_s + FIXED_TIME_S
    last = job_id_of(link.written - 1)

    def is_complete() -> bool:
        return link.view.find(last) is not None and link.tail.up_to_date

    left_s = link.began_s + limit_s - time.monotonic()
    assert run(context, wait_until(is_complete, left_s)), (
        f"{len(link.view.jobs)} of {link.written} jobs after {limit_s:.1f} s,"
        f" {link.proxy.response_bytes} bytes over the link"
    )
    assert len(link.view.jobs) == link.written


@then("the link carried no more than {ratio:g} times the size of the {what}")
def carried(context: Context, ratio: float, what: str) -> None:
    del what
    link = context.link
    limit = ratio * link.transfer_bytes
    assert link.proxy.response_bytes <= limit, link.proxy.response_bytes


@then("each of them is told that there is no such job within {limit_s:d} s")
def all_answered(context: Context, limit_s: int) -> None:
    assert not context.failures, [str(task) for task in context.failures]
    assert max(context.answers_s) <= limit_s, max(context.answers_s)


@then("the config is in force within {limit_s:d} s")
def config_in_force(context: Context, limit_s: int) -> None:
    link = context.link
    left_s = context.written_s + limit_s - time.monotonic()

    def in_force() -> bool:
        return link.table.version == context.newest_version

    assert run(context, wait_until(in_force, left_s)), link.table.version
