from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import msgspec
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPHeaders

from yuccapoint.job.job import Job
from yuccapoint.job.records import JobSubmitted
from yuccapoint.job.size import Size
from yuccapoint_standins.caller_load import CallerLoad
from yuccapoint_standins.deployment import Deployment
from yuccapoint_standins.deployment import SPECS_BY_NAME
from yuccapoint_standins.invariant_checker import InvariantChecker

if TYPE_CHECKING:
    from behave.runner import Context

SEED = 7
MEGABYTE = 1 << 20
IN_FLIGHT_LIMIT_S = 120.0


@given("the deployment {name} with {vms:d} VMs and {entries:d} entries")
def start_deployment(
    context: Context, name: str, vms: int, entries: int
) -> None:
    async def start() -> None:
        deployment = Deployment(SPECS_BY_NAME[name], vms, entries, SEED)
        context.deployment = deployment
        context.cleanups.append(deployment.close)
        context.checker = InvariantChecker(deployment)
        context.load = CallerLoad(
            deployment, context.checker, random.Random(SEED)
        )
        context.cleanups.append(context.load.close)
        await deployment.start()

    context.loop.run_until_complete(start())


@when("{count:d} requests are sent with {in_flight:d} in flight")
def send_requests(context: Context, count: int, in_flight: int) -> None:
    entry = context.deployment.entries[0]
    routes = list(entry.cell.tables.current.routes.values())
    rng = random.Random(SEED)
    free = asyncio.Semaphore(in_flight)

    async def send(number: int) -> None:
        route = routes[number % len(routes)]
        async with free:
            await context.load.send(
                f"{route.prefix}/{number}",
                rng.randbytes(rng.randrange(4_000)),
                idempotent=route.idempotent,
                key="" if route.idempotent else f"key-{number}",
            )

    async def send_all() -> None:
        await asyncio.gather(*(send(number) for number in range(count)))

    context.count = count
    context.loop.run_until_complete(send_all())


@then("each request received its own complete answer")
def all_answered(context: Context) -> None:
    assert context.load.answered == context.count, context.load.answered
    assert context.checker.violations.wrong_or_cut_answer == 0


@then("no invariant was violated")
def no_violation(context: Context) -> None:
    context.checker.sample()
    context.checker.check_runs(
        context.load.non_idempotent,
        context.load.not_run,
        context.load.count_runs(),
    )
    broken = msgspec.to_builtins(context.checker.violations)
    assert not any(broken.values()), broken


@when("a request with repeated headers, a query and 5 megabytes is sent")
def send_large(context: Context) -> None:
    headers = HTTPHeaders()
    headers.add("X-Echo", "one")
    headers.add("X-Echo", "two")
    headers.add("Connection", "X-Hop")
    headers.add("X-Hop", "dropped")
    context.body = random.Random(SEED).randbytes(5 * MEGABYTE)
    _send(context, "PUT", "/quotes/a%20b?c=d&c=e", headers, context.body)


@when("a request with 17 megabytes is sent")
def send_too_large(context: Context) -> None:
    body = bytes(17 * MEGABYTE)
    _send(context, "POST", "/quotes/large", HTTPHeaders(), body)


@then("the endpoint saw the method, target, headers and body unchanged")
def seen_unchanged(context: Context) -> None:
    answer = context.answer
    assert answer.code == 200, answer.code
    assert answer.headers["X-Method"] == "PUT"
    assert answer.headers["X-Target"] == "/quotes/a%20b?c=d&c=e"
    assert answer.headers.get_list("X-Echo") == ["one", "two"]
    assert answer.body == context.body


@then('the answer is {status:d} with verdict "{verdict}"')
def answer_is(context: Context, status: int, verdict: str) -> None:
    answer = context.answer
    assert answer.code == status, answer.code
    assert answer.headers["Yuccapoint-Verdict"] == verdict


@when("a job is submitted and ends")
def run_job(context: Context) -> None:
    deployment = context.deployment
    job = Job(
        job_id="bundle-1",
        team="transcripts",
        customer="charity",
        job_class="bundle",
        pool=deployment.spec.pool,
        size=Size(1000, 1 << 30, 0),
        run_time_s=1.0,
        command="run_s=0.3",
    )
    board = deployment.entries[1].cell.board

    async def run() -> None:
        await deployment.entries[0].commits.commit(
            JobSubmitted(job), time.monotonic(), 5.0
        )
        deadline_s = time.monotonic() + IN_FLIGHT_LIMIT_S
        while time.monotonic() < deadline_s:
            entry = board.jobs.get(job.job_id)
            if entry is not None and entry.state.final:
                return
            context.checker.sample()
            await asyncio.sleep(0.02)

    context.loop.run_until_complete(run())
    context.job_entry = board.jobs[job.job_id]


@then('the job is "{state}" after {attempts:d} attempts')
def job_is(context: Context, state: str, attempts: int) -> None:
    entry = context.job_entry
    assert entry.state.value == state, entry.steps[-1].text
    assert entry.attempt == attempts


def _send(
    context: Context,
    method: str,
    target: str,
    headers: HTTPHeaders,
    body: bytes,
) -> None:
    entry = context.deployment.entries[0]
    address = entry.settings.listen.caller_address
    request = HTTPRequest(
        f"http://{address}{target}",
        method=method,
        headers=headers,
        body=body,
    )

    async def fetch() -> None:
        client = AsyncHTTPClient(force_instance=True)
        context.answer = await client.fetch(request, raise_error=False)
        client.close()

    context.loop.run_until_complete(fetch())
