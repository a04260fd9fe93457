from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from platform_path_steps import run

from soak.proxy import Proxy
from yuccapoint.connection.http_client import HttpClient
from yuccapoint.exceptions import YuccapointError
from yuccapoint.platform.store_partition import StorePartition
from yuccapoint.process.group_appender import GroupAppender
from yuccapoint_standins.deployment import find_free_address
from yuccapoint_standins.platform_store import PlatformStore

if TYPE_CHECKING:
    from behave.runner import Context

BYTES_PER_MBIT = 125_000
# Connection setup and answers.
FIXED_TIME_S = 0.5
RETRY_S = 0.1


class NarrowUplink:
    """A store behind a link that carries requests slowly."""

    def __init__(self, mbit_per_s: float) -> None:
        self.bytes_per_s = mbit_per_s * BYTES_PER_MBIT
        self.store = PlatformStore()
        address = find_free_address()
        self.store.listen(address)
        self.proxy = Proxy(find_free_address(), address)
        self.partition = StorePartition(
            HttpClient(self.proxy.address), "cell", 0
        )
        self.appender = GroupAppender(self.partition)
        self.callers: list[asyncio.Task[float]] = []
        self.record_bytes = 0
        self.began_s = 0.0

    async def start(self) -> None:
        await self.proxy.start()
        self.proxy.request_bytes_per_s = self.bytes_per_s

    def call(self, size: int, seconds: float) -> asyncio.Task[float]:
        self.record_bytes += size
        key = f"s:{len(self.callers):016x}"
        caller = asyncio.ensure_future(
            self._append_again(key, bytes(size), seconds)
        )
        self.callers.append(caller)
        return caller

    async def _append_again(
        self, key: str, value: bytes, seconds: float
    ) -> float:
        """Append until it succeeds, and return the time that it took."""
        began_s = time.monotonic()
        while True:
            try:
                await self.appender.append(key, value, seconds)
            except YuccapointError:
                await asyncio.sleep(RETRY_S)
            else:
                return time.monotonic() - began_s

    def close(self) -> None:
        self.proxy.close()
        self.store.stop()


@given("an entry that appends over a link of {mbit:d} Mbit/s")
def make_uplink(context: Context, mbit: int) -> None:
    context.uplink = uplink = NarrowUplink(mbit)
    context.cleanups.append(uplink.close)
    run(context, uplink.start())


@when(
    "{count:d} callers with {kb:d} kB each come back after {seconds:d} s"
    " without an answer"
)
def come_back(context: Context, count: int, kb: int, seconds: int) -> None:
    uplink = context.uplink

    async def begin() -> None:
        uplink.began_s = time.monotonic()
        for _ in range(count):
            uplink.call(kb * 1_000, seconds)

    run(context, begin())


@when("a caller with {kb:d} kB comes {seconds:f} s later")
def come_later(context: Context, kb: int, seconds: float) -> None:
    async def begin() -> None:
        await asyncio.sleep(seconds)
        context.last = context.uplink.call(kb * 1_000, 10.0)

    run(context, begin())


@then("the last is accepted within {seconds:f} s")
def last_accepted(context: Context, seconds: float) -> None:
    async def wait() -> None:
        await asyncio.wait([context.last], timeout=seconds + 5.0)

    run(context, wait())
    assert context.last.done()
    assert context.last.result() <= seconds, context.last.result()


@then("all are accepted within {ratio:g} times the time that the link needs")
def all_accepted(context: Context, ratio: float) -> None:
    uplink = context.uplink
    needed_s = uplink.record_bytes / uplink.bytes_per_s
    left_s = uplink.began_s + ratio * needed_s + FIXED_TIME_S
    left_s -= time.monotonic()

    async def wait() -> set[asyncio.Task[float]]:
        _, waiting = await asyncio.wait(uplink.callers, timeout=left_s)
        return waiting

    waiting = run(context, wait())
    assert not waiting, (
        f"{len(waiting)} of {len(uplink.callers)} wait,"
        f" {uplink.proxy.request_bytes} bytes sent"
    )


@then(
    "the link carried no more than {ratio:g} times the size of their records"
)
def carried(context: Context, ratio: float) -> None:
    uplink = context.uplink
    limit = ratio * uplink.record_bytes
    assert uplink.proxy.request_bytes <= limit, uplink.proxy.request_bytes
