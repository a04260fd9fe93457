from __future__ import annotations

import asyncio
import itertools
import time
from typing import Any
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import msgspec
from platform_path_steps import config
from platform_path_steps import run
from platform_path_steps import wait_until

from yuccapoint.connection.http_client import HttpClient
from yuccapoint_standins.deployment import find_free_address

if TYPE_CHECKING:
    from behave.runner import Context

    from yuccapoint_standins.platform_worker import PlatformWorker

# Sent so often that some arrive before those of the worker, which are sent
# once a second, after each restart of an agent.
SEND_INTERVAL_S = 0.05
# Placed on the wire as such, as no encoder produces it.
NESTED = b"[" * 20_000 + b"]" * 20_000


def _check_in(worker: PlatformWorker, number: int) -> dict[str, Any]:
    """Return what another writer says, well-formed and born later."""
    return {
        "Service": "another-service",
        "Address": find_free_address(),
        "Zone": "zone",
        "Version": "v1",
        "Slots": 8,
        "State": "ready",
        "ColdRemainingMs": 0,
        "Capacity": {"Cpu": 8000, "MemMb": 16384, "Gpu": 0},
        "Labels": ["a", "r1"],
        "ClockMs": 1_000,
        "Seq": 1_000_000 + number,
        "RemainingMs": 0,
        "born": int(time.time() * 1000) + 1_000,
    }


def _own_check_in(worker: PlatformWorker, number: int) -> dict[str, Any]:
    """Return what the present instance may be said to be."""
    return {
        **_check_in(worker, number),
        "Service": "pool",
        "Address": worker._address,
        "Seq": worker._check_in_sequence + 1,
        "born": worker._started_at_ms,
    }


def _odd_check_in(
    context: Context, kind: str, worker: PlatformWorker, number: int
) -> tuple[str, bytes]:
    """Return the id and the body of an odd check-in."""
    worker_id, body = "i-other", _check_in(worker, number)
    if kind.endswith("start of the worker"):
        worker_id = worker.worker_id
        body = {**_own_check_in(worker, number), "Seq": number}
        body["born"] += -1_000 if "earlier" in kind else 1_000
    elif kind == "of a later start in another service":
        worker_id = worker.worker_id
        body["Address"] = worker._address
    elif kind == "with a far higher Seq":
        worker_id = worker.worker_id
        body = {**_own_check_in(worker, number), "Seq": 1_000_000 + number}
    elif kind == "with a clock that is far ahead":
        worker_id = worker.worker_id
        body = {**_own_check_in(worker, number), "Seq": 1_000_000 + number}
        body["ClockMs"] = 1_000_000 + number
    elif kind == "of another id at the worker's address":
        body["Address"] = worker._address
    elif kind == "of another id at the store's address":
        body["Address"] = context.deployment.store_address
    elif kind == "that move the worker to another address":
        worker_id = worker.worker_id
        body = {
            **_own_check_in(worker, number),
            "Address": find_free_address(),
        }
    elif kind == "that move the worker to another service":
        worker_id = worker.worker_id
        body = {**_own_check_in(worker, number), "Service": "other"}
    elif kind == "with port 70000":
        body["Address"] = "127.0.0.1:70000"
    elif kind == "with an address that can't be read":
        body["Address"] = "127.0..1:8080"
    data = msgspec.json.encode(body)
    if kind == "nested deeply":
        data = data[:-1] + b',"Unread":' + NESTED + b"}"
    return worker_id, data


async def _send_check_ins(context: Context, kind: str, vm: int) -> None:
    deployment = context.deployment
    client = HttpClient(deployment.check_in_addresses[vm])
    for number in itertools.count():
        worker = deployment.workers[vm]
        worker_id, data = _odd_check_in(context, kind, worker, number)
        response = await client.call(
            "PUT",
            f"/yuccapoint/instances/{worker_id}",
            data,
            timeout_s=1.0,
        )
        context.statuses.append(response.status)
        await asyncio.sleep(SEND_INTERVAL_S)


@given("tasks that take {seconds:d} s")
def slow_tasks(context: Context, seconds: int) -> None:
    for worker in context.deployment.workers:
        worker._run_s = float(seconds)


@when("each agent gets check-ins {kind}")
def send_check_ins(context: Context, kind: str) -> None:
    context.statuses = []
    context.senders = []

    async def start() -> None:
        deployment = context.deployment

        def all_run() -> bool:
            return sum(len(w.started) for w in deployment.workers) >= 4

        # Without a job there is nothing to wait for.
        if getattr(context, "body", None):
            assert await wait_until(all_run, 5)
        for vm in range(len(deployment.agents)):
            sender = asyncio.ensure_future(_send_check_ins(context, kind, vm))
            context.senders.append(sender)
            context.cleanups.append(sender.cancel)
        await asyncio.sleep(0.5)

    run(context, start())


@when("another writer appends records nested deeply")
def append_nested(context: Context) -> None:
    async def append() -> None:
        store = context.deployment.store
        nested = b"\x91" * 20_000 + b"\xc0"
        for key in ("s:xx", "c:xx", "p:1.0", "m:vm-9", "e:e-9", "pairs"):
            # The extra element of a sound record is nested.
            store.put("keyed.cell", key, b"\x99" + b"\xc0" * 8 + nested)
            store.put("keyed.cell", f"{key}.0", nested)
        store.put("keyed.op", "config", b'{"Unread":' + NESTED + b"}")
        await asyncio.sleep(1.0)
        store.put("keyed.op", "config", config(3))

    run(context, append())


@when("the entry is replaced by a new one")
def replace_entry(context: Context) -> None:
    async def replace() -> None:
        deployment = context.deployment
        first = deployment.entries[0]
        assert not first.failed.is_set(), "the entry failed"
        feeds = deployment._feed_tasks
        assert not any(feed.done() for feed in feeds), feeds
        deployment.kill(first)
        deployment._add_entry(1)
        del deployment.entries[0]
        del deployment.job_addresses[0]
        fresh = deployment.entries[0]
        assert await wait_until(lambda: fresh.leader is not None, 15)
        assert await wait_until(lambda: fresh.job_gateway.ready, 5)

    run(context, replace())


@when("each worker restarts under a new id")
def restart_workers(context: Context) -> None:
    async def restart() -> None:
        deployment = context.deployment
        for vm, worker in enumerate(deployment.workers):
            worker.stop()
            await worker._server.close_all_connections()
            fresh = type(worker)(
                f"{worker.worker_id}-new",
                "pool",
                worker._address,
                deployment.check_in_addresses[vm],
                worker._run_s,
            )
            fresh.start()
            deployment.workers[vm] = fresh

    run(context, restart())


@then("each agent still follows its own worker")
def follows_own_worker(context: Context) -> None:
    deployment = context.deployment
    for sender in getattr(context, "senders", ()):
        assert not sender.done(), sender
        assert context.statuses, "no check-in was sent"
    for agent, worker in zip(
        deployment.agents, deployment.workers, strict=True
    ):
        assert not agent.failed.is_set(), "the agent failed"
        check_in = agent.vm_agent.check_in
        assert check_in.instance.worker_id == worker.worker_id, check_in
        born_ms = worker._started_at_ms
        assert check_in.instance.born_ms == born_ms, (check_in, born_ms)
        assert check_in.pool == "pool", check_in.pool
        assert check_in.address == worker._address, check_in.address


@when("each agent gets a notice that its worker ends")
def send_notices(context: Context) -> None:
    deployment = context.deployment

    async def send() -> None:
        for address, worker in zip(
            deployment.check_in_addresses, deployment.workers, strict=True
        ):
            client = HttpClient(address)
            response = await client.call(
                "DELETE",
                f"/yuccapoint/instances/{worker.worker_id}",
                b"",
                timeout_s=1.0,
            )
            client.close()
            assert response.status == 200, response.status

    run(context, wait_until(lambda: _all_followed(context), 5))
    run(context, send())


def _all_followed(context: Context) -> bool:
    agents = context.deployment.agents
    return all(agent.vm_agent.check_in is not None for agent in agents)


@when("each worker announces that it leaves")
def announce_leave(context: Context) -> None:
    for worker in context.deployment.workers:
        worker.draining = True


@then("each agent knows within {seconds:d} s that its worker leaves")
def knows_leave(context: Context, seconds: int) -> None:
    def all_know() -> bool:
        agents = context.deployment.agents
        return all(agent.vm_agent.check_in.draining for agent in agents)

    assert run(context, wait_until(all_know, seconds))
