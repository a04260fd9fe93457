from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING
from unittest import mock

from behave import given
from behave import then
from behave import when
from platform_path_steps import call
from platform_path_steps import Deployment
from platform_path_steps import job_body
from platform_path_steps import JOB_ID
from platform_path_steps import run
from platform_path_steps import wait_until
import pynng

from soak.proxy import LinkState
from soak.proxy import Proxy
from yuccapoint.cell import cell_records
from yuccapoint.cell.cell_messages import RelayResult
from yuccapoint.cell.lease_bounds import VM_LEASE_S
from yuccapoint.process.steady_clock import steady_s
from yuccapoint_standins.deployment import find_free_address

if TYPE_CHECKING:
    from behave.runner import Context

# The default of Linux; other systems begin later.
FIRST_OUTGOING_PORT = 32_768
TASKS = 6
TASK_RUN_S = 60.0


class ProxiedDeployment(Deployment):
    """A deployment whose control messages all pass proxies."""

    def __init__(self, entries: int, vms: int) -> None:
        self.proxies: dict[str, Proxy] = {}
        self._proxy_starts: list[asyncio.Task[None]] = []
        self._real_socket = pynng.Pull0
        with mock.patch.object(pynng, "Pull0", self._listen):
            super().__init__(entries, vms)

    def _listen(self, listen: str, **options) -> pynng.Pull0:
        address = listen.removeprefix("tcp://")
        behind = find_free_address()
        proxy = Proxy(address, behind)
        self.proxies[address] = proxy
        self._proxy_starts.append(asyncio.ensure_future(proxy.start()))
        return self._real_socket(listen=f"tcp://{behind}", **options)

    async def start_proxies(self) -> None:
        await asyncio.gather(*self._proxy_starts)

    def silence_from_agents(self, vms: int) -> None:
        assert self.proxies[self.entries[0].address].silence_open(vms) == vms

    def silence_to_agents(self, numbers: range) -> None:
        for number in numbers:
            assert self.proxies[self.agent_addresses[number]].silence_open()

    def close(self) -> None:
        super().close()
        for proxy in self.proxies.values():
            proxy.close()


@given(
    "a platform of one entry and {vms:d} VMs behind proxies, with {tasks:d} "
    "running tasks"
)
def make_platform(context: Context, vms: int, tasks: int) -> None:
    async def start() -> None:
        deployment = ProxiedDeployment(1, vms)
        context.deployment = deployment
        context.cleanups.append(deployment.close)
        await deployment.start_proxies()
        for worker in deployment.workers:
            worker._run_s = TASK_RUN_S
        entry = deployment.entries[0]

        def ready() -> bool:
            if entry.leader is None or not entry.job_gateway.ready:
                return False
            ledgers = entry.leader.vms.values()
            return sum(vm.runs_listed for vm in ledgers) == vms

        assert await wait_until(ready, 10)
        await call(context, 0, "POST", f"/q/{JOB_ID}", job_body(1, tasks))
        assert await wait_until(lambda: _started(context) == tasks, 5)

    run(context, start())


def _started(context: Context) -> int:
    return sum(len(w.started) for w in context.deployment.workers)


@then("the proxies and what is behind them have addresses of their own")
def check_distinct(context: Context) -> None:
    addresses = _proxy_addresses(context)
    assert len(set(addresses)) == len(addresses), addresses


@then("none of their ports is one of the ports of outgoing connections")
def check_ports(context: Context) -> None:
    for address in _proxy_addresses(context):
        port = int(address.rpartition(":")[2])
        assert port < FIRST_OUTGOING_PORT, address


def _proxy_addresses(context: Context) -> list[str]:
    addresses = []
    for address, proxy in context.deployment.proxies.items():
        addresses.extend((address, proxy.upstream))
    return addresses


@when("the open connections of {count:d} VMs fall silent {way}")
def silence(context: Context, count: int, way: str) -> None:
    deployment = context.deployment
    context.silent_at_s = steady_s()
    if way in ("from the agents", "both ways"):
        deployment.silence_from_agents(count)
    if way in ("to the agents", "both ways"):
        deployment.silence_to_agents(range(count))
    if way == "one way or the other":
        deployment.silence_from_agents(1)
        deployment.silence_to_agents(range(1, count))


@when("all links are silent for {seconds:f} s")
def silence_links(context: Context, seconds: float) -> None:
    proxies = context.deployment.proxies.values()
    context.silent_at_s = steady_s()

    async def wait() -> None:
        for proxy in proxies:
            proxy.state = LinkState.SILENT
        await asyncio.sleep(seconds)
        for proxy in proxies:
            proxy.state = LinkState.PASS

    run(context, wait())


@then("each VM gets a new lease before its last one expires")
def leased(context: Context) -> None:
    # A lease that was requested after the connections had fallen silent.
    new_s = context.silent_at_s + VM_LEASE_S + 0.5
    agents = [agent.vm_agent for agent in context.deployment.agents]

    async def wait() -> None:
        await wait_until(
            lambda: all(agent.lease.until_s > new_s for agent in agents),
            context.silent_at_s + VM_LEASE_S - steady_s(),
        )

    run(context, wait())
    late = [agent.vm for agent in agents if agent.lease.until_s <= new_s]
    assert not late, f"no new lease for {late}"


@then("no task was started twice, and none lapsed")
def kept(context: Context) -> None:
    assert _started(context) == TASKS, _started(context)
    for worker in context.deployment.workers:
        assert not worker._ended_tasks, worker._ended_tasks


def _sent_probes(context: Context) -> int:
    deployment = context.deployment
    processes = (*deployment.entries, *deployment.agents)
    return sum(p._control_channel.sent_probes for p in processes)


@when("nothing happens for {seconds:d} s")
def wait(context: Context, seconds: int) -> None:
    context.probes_before = _sent_probes(context)
    run(context, asyncio.sleep(seconds))


@then("at most {count:d} probes were sent meanwhile")
def few_probes(context: Context, count: int) -> None:
    sent = _sent_probes(context) - context.probes_before
    assert sent <= count, sent


@given("two entries behind proxies that have relayed a record")
def relaying_entries(context: Context) -> None:
    async def start() -> None:
        deployment = ProxiedDeployment(2, 0)
        context.deployment = deployment
        context.cleanups.append(deployment.close)
        context.job_numbers = itertools.count(1)
        first, second = deployment.entries
        assert await wait_until(lambda: first.view.peers_of(first.name), 10)
        assert first.view.peers_of(first.name) == [second.address]
        assert await _relay_record(context) is RelayResult.APPENDED

    run(context, start())


async def _relay_record(context: Context) -> RelayResult:
    job_id = f"{next(context.job_numbers):016x}"
    record = cell_records.Cancellation(job_id, 1)
    return await context.deployment.entries[0]._peer_services.relay.append(
        cell_records.CANCELLATION + job_id, cell_records.encode(record), 3.0
    )


@when("the open connection {way} the peer falls silent")
def silence_relay(context: Context, way: str) -> None:
    deployment = context.deployment
    receiver = deployment.entries[1 if way == "to" else 0]
    assert deployment.proxies[receiver.address].silence_open() == 1


@when("records are relayed each {pause_s:f} s for {seconds:f} s")
def relay_records(context: Context, pause_s: float, seconds: float) -> None:
    async def relay() -> None:
        relays = []
        for _ in range(round(seconds / pause_s)):
            relays.append(asyncio.ensure_future(_relay_record(context)))
            await asyncio.sleep(pause_s)
        await asyncio.wait(relays)

    run(context, relay())


@when("one record is relayed at once")
def relay_one(context: Context) -> None:
    run(context, _relay_record(context))


@then("the next record that is relayed is appended")
def next_appended(context: Context) -> None:
    result = run(context, _relay_record(context))
    assert result is RelayResult.APPENDED, result
