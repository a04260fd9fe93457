from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from platform_path_steps import Deployment
from platform_path_steps import run
from platform_path_steps import wait_until

from soak.proxy import Proxy
from yuccapoint.connection.http_client import HttpClient
from yuccapoint.platform.store_partition import StorePartition
from yuccapoint.process.steady_clock import steady_s
from yuccapoint_standins.deployment import find_free_address

if TYPE_CHECKING:
    from behave.runner import Context


class ProxiedStoreDeployment(Deployment):
    """A deployment whose connections to the store all pass a proxy."""

    def __init__(self, entries: int) -> None:
        self.store_proxy: Proxy | None = None
        super().__init__(entries, 0)

    def partition(self, topic: str) -> StorePartition:
        if self.store_proxy is None:
            self.store_proxy = Proxy(find_free_address(), self.store_address)
            asyncio.ensure_future(self.store_proxy.start())
        return StorePartition(HttpClient(self.store_proxy.address), topic, 0)

    def close(self) -> None:
        super().close()
        self.store_proxy.close()


@given("a platform of one entry with {kept:d} kept connections to the store")
def make_platform(context: Context, kept: int) -> None:
    _start(context, 1, kept)


def _start(context: Context, entries: int, kept: int) -> None:
    async def start() -> None:
        deployment = ProxiedStoreDeployment(entries)
        context.deployment = deployment
        context.cleanups.append(deployment.close)
        assert await wait_until(
            lambda: (
                deployment.leader() is not None
                and all(e.job_gateway.ready for e in deployment.entries)
            ),
            10,
        )
        for entry in deployment.entries:
            await asyncio.gather(
                *(entry._store.read(0, 0) for _ in range(kept))
            )

    run(context, start())


@when("all open connections to the store fall silent")
def silence(context: Context) -> None:
    assert context.deployment.store_proxy.silence_open()


@then("the leader may grant leases throughout the next {seconds:d} s")
def leader_grants(context: Context, seconds: int) -> None:
    leader = context.deployment.leader()
    assert leader is not None
    election = leader._leader_election
    term = election.term

    async def watch() -> float:
        until_s = steady_s() + seconds
        while steady_s() < until_s:
            if not election.may_grant(steady_s()) or election.term != term:
                return until_s - steady_s()
            await asyncio.sleep(0.02)
        return 0.0

    left_s = run(context, watch())
    assert not left_s, f"no lease {left_s:.2f} s before the end"
