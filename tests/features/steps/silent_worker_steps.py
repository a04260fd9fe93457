from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from platform_path_steps import call
from platform_path_steps import Deployment
from platform_path_steps import job_body
from platform_path_steps import JOB_ID
from platform_path_steps import run
from platform_path_steps import wait_until

from soak.proxy import Proxy
from yuccapoint_standins.deployment import find_free_address

if TYPE_CHECKING:
    from behave.runner import Context

NEXT_JOB_ID = "00000000000000cd"
TASK_RUN_S = 60.0


class ProxiedWorkerDeployment(Deployment):
    """A deployment of one VM whose agent calls the worker by a proxy."""

    def __init__(self) -> None:
        super().__init__(1, 1)
        worker = self.workers[0]
        worker._run_s = TASK_RUN_S
        self.worker_proxy = Proxy(find_free_address(), worker._address)
        asyncio.ensure_future(self.worker_proxy.start())
        # Its check-ins name this address.
        worker._address = self.worker_proxy.address

    def close(self) -> None:
        super().close()
        self.worker_proxy.close()


def _started(context: Context) -> int:
    return len(context.deployment.workers[0].started)


@given("a platform of one entry and one VM with {tasks:d} running tasks")
def make_platform(context: Context, tasks: int) -> None:
    async def start() -> None:
        deployment = ProxiedWorkerDeployment()
        context.deployment = deployment
        context.cleanups.append(deployment.close)
        entry = deployment.entries[0]

        def ready() -> bool:
            if entry.leader is None or not entry.job_gateway.ready:
                return False
            return any(vm.runs_listed for vm in entry.leader.vms.values())

        assert await wait_until(ready, 10)
        await call(context, 0, "POST", f"/q/{JOB_ID}", job_body(1, tasks))
        assert await wait_until(lambda: _started(context) == tasks, 5)

    run(context, start())


@when("all open connections to the worker fall silent")
def silence(context: Context) -> None:
    assert context.deployment.worker_proxy.silence_open() > 1


@then("the worker's lease is renewed within {seconds:d} s")
def lease_renewed(context: Context, seconds: int) -> None:
    worker = context.deployment.workers[0]
    lease_until_ms = worker._lease_until_ms
    assert run(
        context,
        wait_until(lambda: worker._lease_until_ms > lease_until_ms, seconds),
    )
    assert not worker._ended_tasks, worker._ended_tasks


@then("a further task is started within {seconds:d} s")
def further_start(context: Context, seconds: int) -> None:
    before = _started(context)

    async def submit() -> bool:
        await call(context, 0, "POST", f"/q/{NEXT_JOB_ID}", job_body(1, 1))
        return await wait_until(lambda: _started(context) > before, seconds)

    assert run(context, submit())
