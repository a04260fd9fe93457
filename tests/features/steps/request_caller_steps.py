from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import msgspec
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from yuccapoint.job.records import RouteEdited
from yuccapoint.version.route import Route

if TYPE_CHECKING:
    from behave.runner import Context
    from tornado.httpclient import HTTPResponse

TIMEOUT_S = 10.0


def _add_route(context: Context, route: Route) -> None:
    async def add() -> None:
        deployment = context.deployment
        entry = deployment.entries[0]
        spec = deployment.spec
        row = msgspec.structs.replace(
            route, service=spec.service, pool=spec.pool
        )
        edit = RouteEdited(row.name, 0, row.name, "test", row)
        await entry.commits.commit(edit, time.monotonic(), TIMEOUT_S)
        version = entry.cell.tables.version
        while any(
            other.cell.tables.version < version for other in deployment.entries
        ):
            await asyncio.sleep(0.01)

    context.loop.run_until_complete(add())
    context.names = []


async def _fetch(
    context: Context, path: str, entry: int, headers: dict[str, str]
) -> HTTPResponse:
    name = f"caller-{len(context.names)}"
    context.names.append(name)
    listen = context.deployment.entries[entry].settings.listen
    client = AsyncHTTPClient(force_instance=True)
    response = await client.fetch(
        HTTPRequest(
            f"http://{listen.caller_address}{path}",
            method="POST",
            body=b"body",
            headers={"X-Request-Name": name, **headers},
        ),
        raise_error=False,
    )
    client.close()
    return response


@given('a route "{prefix}" whose keys are claimed at the agents')
def key_route(context: Context, prefix: str) -> None:
    route = Route(name="keyed", prefix=prefix, service="", pool="")
    _add_route(context, route)


@given(
    'a route "{prefix}" that takes {work:g} s with a limit of '
    "{rate:g} requests/s per customer"
)
def slow_route(
    context: Context, prefix: str, work: float, rate: float
) -> None:
    for machine in context.deployment.vms:
        machine.endpoint.service_time_s = work
    _add_route(
        context,
        Route(
            name="slow",
            prefix=prefix,
            service="",
            pool="",
            customer_requests_per_s=rate,
        ),
    )


@when('a caller sends "{path}" with key "{key}" to entry {entry:d}')
def send_key(context: Context, path: str, key: str, entry: int) -> None:
    headers = {"Idempotency-Key": key}
    context.last_response = context.loop.run_until_complete(
        _fetch(context, path, entry, headers)
    )


@when('a caller sends "{path}" with header "{header}"')
def send_header(context: Context, path: str, header: str) -> None:
    name, _, value = header.partition(": ")
    context.last_response = context.loop.run_until_complete(
        _fetch(context, path, 0, {name: value})
    )


@when('a caller sends "{path}" {count:d} times concurrently')
def send_concurrently(context: Context, path: str, count: int) -> None:
    async def send() -> list[HTTPResponse]:
        sends = [_fetch(context, path, 0, {}) for _ in range(count)]
        return await asyncio.gather(*sends)

    context.last_response = context.loop.run_until_complete(send())[-1]


@when("a caller sends bytes that are not an HTTP request")
def send_bytes(context: Context) -> None:
    listen = context.deployment.entries[0].settings.listen
    host, _, port = listen.caller_address.rpartition(":")

    async def send() -> bytes:
        stream = await TCPClient().connect(host, int(port))
        await stream.write(b"NO REQUEST AT ALL\r\n\r\n")
        with contextlib.suppress(StreamClosedError):
            return await stream.read_until(b"\r\n")
        return b""

    context.raw_response = context.loop.run_until_complete(send())


@when("all agents restart")
def restart_agents(context: Context) -> None:
    deployment = context.deployment

    async def restart() -> None:
        for machine in deployment.vms:
            deployment.restart_agent(machine)
        deadline_s = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline_s:
            agents = [machine.agent for machine in deployment.vms]
            if all(agent.task_manager.lease_until_s for agent in agents):
                return
            await asyncio.sleep(0.05)

    context.loop.run_until_complete(restart())


@then('the caller gets {status:d} with "{verdict}" and reason {reason}')
def response_with_reason(
    context: Context, status: int, verdict: str, reason: str
) -> None:
    last_response(context, status, verdict)
    found = context.last_response.headers["Yuccapoint-Reason"]
    assert found == reason, (found, context.last_response.body)


@then('the caller gets {status:d} with "{verdict}"')
def last_response(context: Context, status: int, verdict: str) -> None:
    response = context.last_response
    assert response.code == status, (response.code, response.body)
    assert response.headers["Yuccapoint-Verdict"] == verdict


@then('the last of them gets {status:d} with "{verdict}" and a retry time')
def response_with_retry_time(
    context: Context, status: int, verdict: str
) -> None:
    last_response(context, status, verdict)
    assert int(context.last_response.headers["Retry-After"]) >= 1


@then("the caller's connection gets status {status:d}")
def raw_status(context: Context, status: int) -> None:
    assert context.raw_response.startswith(f"HTTP/1.1 {status}".encode()), (
        context.raw_response
    )


@then("the endpoints ran the caller's requests {count:d} time in total")
def ran_times(context: Context, count: int) -> None:
    total = 0
    for machine in context.deployment.vms:
        for name in context.names:
            total += machine.endpoint.runs.get(name, 0)
    assert total == count, total
