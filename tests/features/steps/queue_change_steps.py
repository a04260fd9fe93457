from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from cell_leader_steps import deliver_report
from cell_leader_steps import report
from cell_leader_steps import WALL_MS
import msgspec
from platform_path_steps import config
from platform_path_steps import make_platform
from platform_path_steps import run

from yuccapoint.cell import cell_records
from yuccapoint.cell.cell_leader import CellLeader
from yuccapoint.cell.cell_messages import EndedRun
from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.cell_records import Member
from yuccapoint.cell.cell_records import StoredQueue
from yuccapoint.cell.cell_view import CellView
from yuccapoint.cell.occurrence_state import Outcome
from yuccapoint.cell.occurrence_state import Phase
from yuccapoint.cell.queue_address import QueueAddress
from yuccapoint.cell.queue_rules import QueueRules
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.cell.submission import Submission
from yuccapoint.job.size import Size
from yuccapoint.version.queue_table import QueueRoute
from yuccapoint.version.queue_table import QueueTable

if TYPE_CHECKING:
    from behave.runner import Context

    from yuccapoint.cell.cell_messages import VmReport
    from yuccapoint.cell.task_run import TaskRun

JOB_ID = "7" * 16
HOST = "example.org"
FIRST_VERSION = 7
# Fields of rules that a config may change, with a former and a later value.
LATER_RULES: dict[str, object] = {
    "pool": "new",
    "priority": 3,
    "max_attempts": 5,
    "objective_factor": 4.0,
    "objective_ms": 9_000,
    "advice_valid_ms": 8_000,
}


@given(
    'a platform with {entries:d} entries and {vms:d} VMs of the pool "{pool}"'
)
def make_platform_of_pool(
    context: Context, entries: int, vms: int, pool: str
) -> None:
    make_platform(context, entries, vms, pool)


@when("nothing else happens")
def nothing(context: Context) -> None:
    # The job is planned for in vain.
    run(context, asyncio.sleep(0.3))


@when('the operator sends the queue to the pool "{pool}"')
def send_queue(context: Context, pool: str) -> None:
    record = config(FIRST_VERSION, pool=pool)
    context.deployment.store.put("keyed.op", "config", record)
    run(context, asyncio.sleep(0.3))


def _table(version: int, *routes: QueueRoute) -> QueueTable:
    return QueueTable(version, routes, 1_000)


def _route(version: int, pool: str, **changes) -> QueueRoute:
    host = changes.pop("host", HOST)
    prefix = changes.pop("prefix", "/q/")
    rules = QueueRules(changes.pop("name", "q"), pool, **changes)
    return QueueRoute(host, prefix, rules, version)


def _report(context: Context, vm: str, **changes) -> VmReport:
    context.sequence += 1
    message = report(vm, context.sequence, term=context.leader.term, **changes)
    pool = "old" if vm == "vm-0" else "new"
    worker = msgspec.structs.replace(message.worker, pool=pool)
    return msgspec.structs.replace(message, worker=worker)


def _round(context: Context, **changes) -> None:
    """Report all VMs, plan, store all records and send the orders."""
    leader = context.leader
    context.now_s += 0.1
    for vm in ("vm-0", "vm-1"):
        more = changes if vm == "vm-0" else {}
        leader.on_report(_report(context, vm, **more), context.now_s)
    leader.tick(context.now_s, WALL_MS)
    batch = leader.collect_batch()
    for key, value in batch.records:
        context.stored.append(key)
        record = cell_records.decode(key, value)
        context.view.apply(key, record, len(context.stored) + 10)
    leader.commit(batch)
    for vm, orders in leader.collect_orders(context.now_s, may_grant=True):
        if vm.name == "vm-0":
            context.old_starts.extend(orders.starts)


def _begin(context: Context, step: StepSpec, **changes) -> None:
    """Start a leader with a VM of the old and one of the new pool."""
    context.view = CellView()
    context.stored = []
    context.old_starts = []
    context.sequence = 0
    context.now_s = 10.0
    route = _route(FIRST_VERSION, "old")
    context.view.queues.install(_table(FIRST_VERSION, route))
    job = Submission(
        JOB_ID,
        QueueRules("q", "old", **changes),
        "payload",
        (step,),
        accepted_at_ms=WALL_MS,
        address=QueueAddress(HOST, "/q/"),
        config_version=FIRST_VERSION,
    )
    context.view.apply(cell_records.SUBMISSION + JOB_ID, job, 1)
    _take_over(context, 1)


def _take_over(context: Context, term: int) -> None:
    context.leader = CellLeader("e-0", "e-0", term, context.now_s)
    for vm in ("vm-0", "vm-1"):
        context.leader.on_member(Member(vm, vm, 1))
    context.leader.load(context.view, context.now_s)
    # The leases of a former leader have expired then.
    context.now_s += 10.0
    for vm in ("vm-0", "vm-1"):
        message = _report(context, vm)
        deliver_report(context.leader, message, context.now_s)


def _tasks(context: Context) -> list[TaskRun]:
    return context.leader.jobs[JOB_ID].occurrences[0].tasks


@given("a waiting job that both VMs have room for")
def waiting_job(context: Context) -> None:
    _begin(context, StepSpec(2, Size(1_000, 2**20, 0)))


@given("a job whose tasks are claimed in the old pool")
def claimed_job(context: Context) -> None:
    waiting_job(context)
    _plan_only(context)


@given("a gang whose members are claimed in the old pool")
def claimed_gang(context: Context) -> None:
    _begin(context, StepSpec(2, Size(1_000, 2**20, 0), gang=True))
    _plan_only(context)


def _plan_only(context: Context) -> None:
    """Claim, without the commit that lets the starts be ordered."""
    context.leader.tick(context.now_s, WALL_MS)
    assert all(t.instance.vm == "vm-0" for t in _tasks(context))
    context.batch = context.leader.collect_batch()


@when("the starts are ordered")
def order_starts(context: Context) -> None:
    for key, value in context.batch.records:
        record = cell_records.decode(key, value)
        context.view.apply(key, record, 5)
    context.leader.commit(context.batch)
    context.leader.collect_orders(context.now_s, may_grant=True)
    assert all(task.ordered_at_s for task in _tasks(context))


def _running(context: Context, count: int) -> tuple[RunningTask, ...]:
    return tuple(
        RunningTask(task.task_id, task.run, "", 10, 0.0)
        for task in _tasks(context)[:count]
    )


@when("{count:d} of them is reported as running")
def report_running(context: Context, count: int) -> None:
    context.now_s += 0.1
    message = _report(context, "vm-0", running=_running(context, count))
    context.leader.on_report(message, context.now_s)


@when("version {version:d} sends the queue to the new pool")
def send_to_new(context: Context, version: int) -> None:
    route = _route(version, "new")
    context.view.queues.install(_table(version, route))


@when("version {version:d} has it at {address} as {name}")
def change_route(
    context: Context, version: int, address: str, name: str
) -> None:
    host, _, prefix = address.partition("/")
    route = _route(version, "new", host=host, prefix=f"/{prefix}", name=name)
    context.view.queues.install(_table(version, route))


@when("version {version:d} has no route")
def remove_route(context: Context, version: int) -> None:
    context.view.queues.install(_table(version))


@when("a round is planned")
def plan_round(context: Context) -> None:
    _round(context)


@when("rounds are planned for {seconds:d} s")
def plan_rounds(context: Context, seconds: int) -> None:
    for _ in range(10 * seconds):
        percent = int(context.now_s)
        running = tuple(
            RunningTask(task.task_id, task.run, "", percent, 0.0)
            for task in _tasks(context)
            if task.seen_running and not task.stopping
        )
        _round(context, running=running)


@when("the worker of the old pool stops both tasks")
def stop_tasks(context: Context) -> None:
    ends = tuple(
        EndedRun(number, task.task_id, task.run, "stopped", "")
        for number, task in enumerate(_tasks(context), 1)
    )
    _round(context, ends=ends)


@when("another entry leads that has read version {version:d} only")
def lead_with_older(context: Context, version: int) -> None:
    context.view.queues.table = None
    if version:
        route = _route(version, "old")
        context.view.queues.install(_table(version, route))
    _take_over(context, 2)


@when("the leader applies it and has not stored it yet")
def apply_only(context: Context) -> None:
    context.leader.tick(context.now_s, WALL_MS)


@then("its pool is still the changed one")
def pool_kept(context: Context) -> None:
    _check_rule(context, "pool")


@then('both tasks have a claim on "{vm}"')
def claimed_there(context: Context, vm: str) -> None:
    found = [task.instance and task.instance.vm for task in _tasks(context)]
    assert found == [vm] * len(found), found


@then("both runs go on in the old pool")
def runs_go_on(context: Context) -> None:
    claimed_there(context, "vm-0")
    stopping = [task.stopping for task in _tasks(context)]
    assert not any(stopping), stopping


@then("no start is ordered in the old pool")
def none_ordered(context: Context) -> None:
    assert not context.old_starts, context.old_starts


@then("both runs are stopped in the old pool")
def runs_stopped(context: Context) -> None:
    assert all(task.stopping for task in _tasks(context))


@then("the other member's start is ordered in the old pool")
def member_ordered(context: Context) -> None:
    claimed_there(context, "vm-0")
    assert not any(task.stopping for task in _tasks(context))
    assert _tasks(context)[1].ordered_at_s > 0


@when("version {version:d} changes the {field} of the queue")
def change_rule(context: Context, version: int, field: str) -> None:
    pool = "new" if field == "pool" else "old"
    more = {} if field == "pool" else {field: LATER_RULES[field]}
    route = _route(version, pool, **more)
    context.view.queues.install(_table(version, route))


@then("its {field} is the changed one, also for the next leader")
def rule_changed(context: Context, field: str) -> None:
    _round(context)
    _check_rule(context, field)
    context.view.queues.table = None
    _take_over(context, 2)
    _check_rule(context, field)


def _check_rule(context: Context, field: str) -> None:
    rules = context.leader.jobs[JOB_ID].queue.rules
    assert getattr(rules, field) == LATER_RULES[field], rules


@given("a job of which a task has failed {count:d} of {limit:d} times")
def failed_task(context: Context, count: int, limit: int) -> None:
    step = StepSpec(1, Size(1_000, 2**20, 0))
    _begin(context, step, max_attempts=limit)
    route = _route(FIRST_VERSION + 1, "old", max_attempts=limit)
    context.view.queues.install(_table(FIRST_VERSION + 1, route))
    for number in range(1, count + 1):
        _round(context)
        _round(context)
        task = _tasks(context)[0]
        assert task.run == number, task.run
        ended = EndedRun(number, task.task_id, number, "failed", "")
        _round(context, ends=(ended,))
        context.now_s += 20.0
    assert _tasks(context)[0].failures == count


@when("version {version:d} allows {limit:d} attempts")
def allow_attempts(context: Context, version: int, limit: int) -> None:
    route = _route(version, "old", max_attempts=limit)
    context.view.queues.install(_table(version, route))


@then("the job has failed, and no run was started")
def job_failed(context: Context) -> None:
    job = context.view.find(JOB_ID)
    assert job.outcome is Outcome.FAILED, job.outcome
    states = [t for s in job.occurrences[0].steps for t in s]
    assert all(state.phase is Phase.WAITING for state in states), states


@then("the task is claimed again")
def claimed_again(context: Context) -> None:
    assert _tasks(context)[0].phase is Phase.CLAIMED


@given("an adviser that allows no worker yet")
def no_advice(context: Context) -> None:
    leader = context.leader
    query = leader.adviser_queries.next_query(context.now_s, WALL_MS)
    assert query is None, query


@then('the adviser is queried for "{vm}" only')
def queried(context: Context, vm: str) -> None:
    leader = context.leader
    _, asked = leader.adviser_queries.next_query(context.now_s, WALL_MS)
    assert [instance.vm for instance in asked] == [vm], asked


@then("no task is claimed in any pool")
def none_claimed(context: Context) -> None:
    assert all(task.instance is None for task in _tasks(context))


@then("the queue's record is dropped once no job of it is left")
def record_dropped(context: Context) -> None:
    (key,) = context.view.queues.stored
    assert isinstance(context.view.queues.stored[key], StoredQueue)
    expire = context.leader.maintenance.expire_records
    assert expire(context.view, 500.0) == []
    context.view.apply(cell_records.SUBMISSION + JOB_ID, None, 900)
    assert expire(context.view, 500.0) == [(key, None)]
    context.view.apply(key, None, 901)
    assert not context.view.queues.stored
