from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from platform_path_steps import run

from yuccapoint.cell.cell_messages import StartOrder
from yuccapoint.cell.occurrence_state import WorkerInstance
from yuccapoint.cell.worker_events import CallAnswer
from yuccapoint.cell.worker_events import CallResult
from yuccapoint.cell.worker_events import StartCall
from yuccapoint.cell.worker_events import StatusRequest
from yuccapoint.cell.worker_events import StopCall
from yuccapoint.exceptions import FencedError
from yuccapoint.platform import worker_client
from yuccapoint.platform.worker_client import WorkerClient
from yuccapoint_standins.deployment import find_free_address
from yuccapoint_standins.platform_worker import PlatformWorker

if TYPE_CHECKING:
    from behave.runner import Context

ENDED_TASK = "a" * 16 + ".0.0.0"
LATE_TASK = "b" * 16 + ".0.0.0"
LEASE_MS = 60_000
RUN_S = 30.0


@given("a worker that has restarted under its id")
def restarted_worker(context: Context) -> None:
    address = find_free_address()
    timeout_s = worker_client.CALL_TIMEOUT_S
    context.cleanups.append(
        lambda: setattr(worker_client, "CALL_TIMEOUT_S", timeout_s)
    )
    # The scenarios are about the answers; the machine may be busy.
    worker_client.CALL_TIMEOUT_S = 10.0
    context.client = WorkerClient(address)
    context.cleanups.append(context.client.close)

    async def start() -> None:
        context.worker = PlatformWorker(
            "i-0", "pool", address, "127.0.0.1:1", RUN_S
        )
        context.worker.start()

    run(context, start())
    context.cleanups.append(context.worker.stop)
    born_ms = context.worker._started_at_ms
    context.instances = {
        "former": WorkerInstance("vm-0", "i-0", born_ms - 2_000),
        "new": WorkerInstance("vm-0", "i-0", born_ms),
    }


def _read_runs(context: Context, term: int, last_seen: int, which: str):
    instance = context.instances[which]
    request = StatusRequest(
        instance, instance.born_ms, term, last_seen, LEASE_MS, 0
    )

    async def read():
        return await context.client.fetch_status(request, instance)

    return run(context, read())


def _start(context: Context, term: int, task_id: str, which: str) -> None:
    order = StartOrder(task_id, 1, "payload", "")
    call = StartCall(order, term, LEASE_MS)
    _call(context, call, which)


def _call(context: Context, call: StartCall | StopCall, which: str) -> None:
    instance = context.instances[which]
    call.address_to(instance, instance.born_ms, 0)

    async def send() -> None:
        context.answer = await context.client.call(call, instance)

    run(context, send())


@when("the agent has read the runs of the new instance in term {term:d}")
def runs_read(context: Context, term: int) -> None:
    context.term = term
    _read_runs(context, term, 0, "new")


@when("the new instance ends a run")
def run_ends(context: Context) -> None:
    _start(context, context.term, ENDED_TASK, "new")
    assert context.answer.result is CallResult.DONE, context.answer
    context.worker._end_task(ENDED_TASK, "done")


@when("a {call} of term {term:d} for the {which} instance arrives")
def call_arrives(context: Context, call: str, term: int, which: str) -> None:
    if call == "start":
        _start(context, term, LATE_TASK, which)
    elif call == "stop":
        _call(context, StopCall(LATE_TASK, 1, term), which)
    else:
        try:
            _read_runs(context, term, 57, which)
        except FencedError:
            context.answer = CallAnswer(CallResult.REFUSED, "fence")


@then("it is fenced, and the worker lists the end and runs nothing")
def fenced_without_effect(context: Context) -> None:
    fenced(context)
    status = _read_runs(context, context.term, 0, "new")
    assert [end.task_id for end in status.ends] == [ENDED_TASK], status.ends
    assert not status.running, status.running


@then("it is fenced")
def fenced(context: Context) -> None:
    assert context.answer.result is CallResult.REFUSED, context.answer
    assert context.answer.reason == "fence", context.answer.reason


@then("the worker runs it")
def worker_runs(context: Context) -> None:
    assert context.answer.result is CallResult.DONE, context.answer
    assert LATE_TASK in context.worker._running_tasks
