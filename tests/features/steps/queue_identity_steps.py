from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import msgspec
from platform_path_steps import call
from platform_path_steps import config
from platform_path_steps import job_body
from platform_path_steps import JOB_ID
from platform_path_steps import run
from platform_path_steps import wait_until

from yuccapoint.cell import cell_records
from yuccapoint.cell.cell_messages import CellMessage
from yuccapoint.cell.cell_messages import JobLookup
from yuccapoint.cell.cell_records import StoredQueue
from yuccapoint.cell.cell_view import CellView
from yuccapoint.cell.queue_address import QueueAddress
from yuccapoint.cell.queue_rules import QueueRules
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.cell.submission import Submission
from yuccapoint.job.size import Size
from yuccapoint.version.queue_table import QueueRoute
from yuccapoint.version.queue_table import QueueTable

if TYPE_CHECKING:
    from behave.runner import Context

VERSION = 8


def _install(context: Context, **changes) -> None:
    context.version = getattr(context, "version", VERSION) + 1
    record = config(context.version, **changes)
    context.deployment.store.put("keyed.op", "config", record)
    run(context, asyncio.sleep(0.4))


@when('the operator has the queue at "{prefix}" as "{name}"')
def change_queue(context: Context, prefix: str, name: str) -> None:
    _install(context, prefix=prefix, name=name)


@when(
    'the operator adds a queue at "{prefix}" as "{name}",'
    ' and the first is "{first}"'
)
def add_queue(context: Context, prefix: str, name: str, first: str) -> None:
    other = {"PathPrefix": prefix, "Name": name}
    _install(context, name=first, others=(other,))


def _entries(context: Context) -> range:
    return range(len(context.deployment.entries))


async def _wait_for_status(
    context: Context, entry: int, path: str, seconds: float
) -> None:
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    while loop.time() < end_s:
        response = await call(context, entry, "GET", path, b"")
        if response.status == 200:
            return
        await asyncio.sleep(0.1)
    raise AssertionError((entry, path, response.status))


@then('the job is shown at "{prefix}" at each entry')
def shown_at_each(context: Context, prefix: str) -> None:
    for entry in _entries(context):
        path = f"{prefix}{JOB_ID}"
        run(context, _wait_for_status(context, entry, path, 3))
    context.left = 0


@then('the job is shown at "{prefix}" at the remaining entry')
def shown_at_remaining(context: Context, prefix: str) -> None:
    path = f"{prefix}{JOB_ID}"
    run(context, _wait_for_status(context, context.left, path, 8))


@then('a copy of the job at "{prefix}" gets 200')
def copy_accepted(context: Context, prefix: str) -> None:
    body = job_body(1, 1, Persistent=True)
    path = f"{prefix}{JOB_ID}"
    run(context, call(context, context.left, "POST", path, body))
    assert context.response.status == 200, context.response.status


@when('a caller cancels the job at "{prefix}"')
def cancel_there(context: Context, prefix: str) -> None:
    path = f"{prefix}{JOB_ID}"
    run(context, call(context, context.left, "DELETE", path, b""))


@then("the job's task is stopped within {seconds:d} s")
def task_stopped(context: Context, seconds: int) -> None:
    def idle() -> bool:
        return not any(w._running_tasks for w in context.deployment.workers)

    assert run(context, wait_until(idle, seconds))


@then('{method:w} at "{prefix}" is answered with {status:d} by each entry')
def answered(context: Context, method: str, prefix: str, status: int) -> None:
    body = job_body(1, 1) if method == "POST" else b""
    for entry in _entries(context):
        path = f"{prefix}{JOB_ID}"
        run(context, call(context, entry, method, path, body))
        assert context.response.status == status, context.response.status


@then('each entry counts {count:d} waiting job at "{prefix}"')
def counted(context: Context, count: int, prefix: str) -> None:
    for entry in _entries(context):
        run(context, call(context, entry, "GET", prefix, b""))
        found = msgspec.json.decode(context.response.body)
        assert found == {"Pending": count}, found


def _address(text: str) -> QueueAddress:
    host, _, path = text.partition("/")
    return QueueAddress(host, f"/{path}")


def _hold(context: Context, address: QueueAddress | None, route: str) -> None:
    context.view = CellView()
    context.job = Submission(
        JOB_ID,
        QueueRules(route, "pool"),
        "payload",
        (StepSpec(1, Size(1_000, 2**20, 0)),),
        address=address,
        config_version=7 if address else 0,
    )
    context.view.apply(cell_records.SUBMISSION + JOB_ID, context.job, 1)
    routes = [
        QueueRoute(
            _address(row["address"]).host,
            _address(row["address"]).path_prefix,
            QueueRules(row["name"], "pool"),
            VERSION,
        )
        for row in context.table
    ]
    context.view.queues.install(QueueTable(VERSION, routes, 1_000))


@given(
    'a job of route "{route}" at "{address}" and a config with these routes'
)
def job_and_config(context: Context, route: str, address: str) -> None:
    _hold(context, _address(address), route)


@given(
    'a job of an earlier build of route "{route}"'
    " and a config with these routes"
)
def earlier_job_and_config(context: Context, route: str) -> None:
    _hold(context, None, route)


@given('a leader has stored its queue at "{address}" as "{name}"')
def leader_stored(context: Context, address: str, name: str) -> None:
    key = cell_records.queue_key(context.job)
    rules = QueueRules(name, "pool")
    # Of a newer config than the one read, or of the one before.
    version = 7 if context.job.address is None else VERSION + 1
    record = StoredQueue(_address(address), version, rules)
    value = cell_records.encode(record)
    context.view.apply(key, cell_records.decode(key, value), 2)


def _find(context: Context, address: QueueAddress | None, name: str):
    return context.view.find_of_queue(JOB_ID, address, name)


@then('the job is held by the queue at "{address}" as "{name}"')
def held(context: Context, address: str, name: str) -> None:
    assert _find(context, _address(address), name) is not None


@then('the job is not held by the queue at "{address}" as "{name}"')
def not_held(context: Context, address: str, name: str) -> None:
    assert _find(context, _address(address), name) is None


@then('a lookup of an earlier build for route "{name}" finds it: {found}')
def lookup_finds(context: Context, name: str, found: str) -> None:
    sent = ["jl", "127.0.0.1:1", 1, name, JOB_ID]
    data = msgspec.msgpack.encode(sent)
    lookup = msgspec.msgpack.decode(data, type=CellMessage)
    assert isinstance(lookup, JobLookup)
    job = _find(context, lookup.queue_address, lookup.route)
    assert (job is not None) == (found == "yes")
