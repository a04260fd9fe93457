from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import msgspec
from platform_path_steps import call
from platform_path_steps import Deployment
from platform_path_steps import job_body
from platform_path_steps import JOB_ID
from platform_path_steps import run
from platform_path_steps import wait_until

from yuccapoint.connection.cell_store import StoreResponseLostError

if TYPE_CHECKING:
    from behave.runner import Context

    from yuccapoint.connection.stored_page import StoredPage

PATH = f"/q/{JOB_ID}"
READ_TIMEOUT_S = 0.8
BLIND = 1


async def _lose_read(_from_offset: int, _wait_ms: int) -> StoredPage:
    await asyncio.sleep(READ_TIMEOUT_S)
    raise StoreResponseLostError("the test loses reads")


@given("a platform of 2 entries, of which one can't read the store")
def make_platform(context: Context) -> None:
    async def start() -> None:
        deployment = Deployment(2, 0)
        context.deployment = deployment
        context.cleanups.append(deployment.close)
        entries = deployment.entries
        assert await wait_until(
            lambda: (
                deployment.leader() is not None
                and all(e.job_gateway.ready for e in entries)
                and all(len(e.view.entries) == len(entries) for e in entries)
            ),
            10,
        )
        blind = entries[BLIND]
        blind.tail._store.read = _lose_read
        assert await wait_until(lambda: not blind.tail.up_to_date, 5)

    run(context, start())


@when("a caller submits a job to the other")
def submit(context: Context) -> None:
    run(context, call(context, 0, "POST", PATH, job_body(1, 1)))
    assert context.response.status == 200, context.response.status


@when("the other entry is killed")
def kill_other(context: Context) -> None:
    context.deployment.kill(context.deployment.entries[0])


@then(
    "the blind entry answers {method:w} with {status:d} within {limit_s:f} s"
)
def answers(
    context: Context, method: str, status: int, limit_s: float
) -> None:
    run(context, call(context, BLIND, method, PATH, b""))
    assert context.response.status == status, context.response.status
    assert context.took_s <= limit_s, context.took_s


@then("the other entry shows the job as cancelled within {limit_s:d} s")
def shows_cancelled(context: Context, limit_s: int) -> None:
    async def ask() -> object:
        for _ in range(limit_s * 10):
            await call(context, 0, "GET", PATH, b"")
            state = msgspec.json.decode(context.response.body)
            if state == {"State": "cancelled"}:
                break
            await asyncio.sleep(0.1)
        return state

    state = run(context, ask())
    assert state == {"State": "cancelled"}, state


@then("the response has a Retry-After")
def has_retry_after(context: Context) -> None:
    assert int(context.response.headers["Retry-After"]) >= 1
