from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from cell_leader_steps import add_job
from cell_leader_steps import report
from cell_leader_steps import WALL_MS

from yuccapoint.cell.cell_leader import CellLeader
from yuccapoint.cell.cell_messages import RefusedRun
from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.cell_records import Member
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

VM = "vm-0"
TASKS = 3
TASK = StepSpec(TASKS, Size(2_000, 2**20, 0))
ROOM_FOR_ALL = Size(8_000, 2**35, 0)


def _report(context: Context, capacity: Size, **changes) -> None:
    context.sequence += 1
    message = report(VM, context.sequence, capacity=capacity, **changes)
    context.leader.on_report(message, context.now_s)
    _order(context)


def _order(context: Context) -> None:
    due = context.leader.collect_orders(context.now_s, may_grant=True)
    context.orders = [orders for _, orders in due]


def _starts(context: Context) -> list[str]:
    return [s.task_id for orders in context.orders for s in orders.starts]


@given("a leader with a VM and claims that are not stored yet")
def claims_not_stored(context: Context) -> None:
    context.now_s = 100.0
    context.sequence = 0
    context.leader = CellLeader("e-0", "e-0", 1, 0.0)
    context.leader.on_member(Member(VM, VM, 1))
    _report(context, ROOM_FOR_ALL)
    add_job(context.leader, "e" * 16, TASK)
    context.leader.tick(context.now_s, WALL_MS)
    context.batch = context.leader.collect_batch()
    assert len(context.batch.claims) == TASKS, context.batch.claims


@given("a leader with a VM and claims whose starts were ordered")
def starts_ordered(context: Context) -> None:
    claims_not_stored(context)
    context.leader.commit(context.batch)
    _order(context)
    assert len(_starts(context)) == TASKS, context.orders


@given("a leader with 2 VMs and a gang on both that is not stored yet")
def gang_not_stored(context: Context) -> None:
    context.now_s = 100.0
    context.sequence = 1
    context.leader = CellLeader("e-0", "e-0", 1, 0.0)
    for vm in (VM, "vm-1"):
        context.leader.on_member(Member(vm, vm, 1))
        message = report(vm, 1, capacity=Size(4_000, 2**35, 0))
        context.leader.on_report(message, context.now_s)
    _order(context)
    gang = StepSpec(4, Size(2_000, 2**20, 0), gang=True)
    add_job(context.leader, "e" * 16, gang)
    context.leader.tick(context.now_s, WALL_MS)
    context.batch = context.leader.collect_batch()
    members = [len(vm.claims) for vm in context.leader.vms.values()]
    assert members == [2, 2], members


@when("the VM reports room for {tasks:d} of them")
def room_shrinks(context: Context, tasks: int) -> None:
    context.now_s += 0.5
    context.room = Size(2_000 * tasks, 2**35, 0)
    _report(context, context.room)


@when("the VM reports room for {tasks:d} of them, and the claims are stored")
@when(
    "the first VM reports room for {tasks:d} of its members, and it is stored"
)
def claims_stored(context: Context, tasks: int) -> None:
    room_shrinks(context, tasks)
    assert not _starts(context), context.orders
    context.leader.commit(context.batch)
    _order(context)


@when("it is stored, and the first VM refuses a member for want of room")
def member_refused(context: Context) -> None:
    context.leader.commit(context.batch)
    _order(context)
    assert len(_starts(context)) == 4, context.orders
    context.now_s += 0.1
    task_id = next(iter(context.leader.vms[VM].claims))
    refused = RefusedRun(task_id, 1, "room")
    _report(context, Size(4_000, 2**35, 0), refused=(refused,))


@then("its {count:d} other members are stopped")
def members_stopped(context: Context, count: int) -> None:
    stops = [stop for orders in context.orders for stop in orders.stops]
    assert len(stops) == count, stops


@when("the VM reports room for all of them")
def room_grows(context: Context) -> None:
    context.now_s += 0.5
    _report(context, ROOM_FOR_ALL)
    context.leader.tick(context.now_s, WALL_MS)


@when("nothing is heard of the starts for {seconds:d} s")
def starts_unknown(context: Context, seconds: int) -> None:
    for _ in range(2 * seconds):
        context.now_s += 0.5
        _report(context, context.room)
        assert not _starts(context), context.orders


@when("the VM reports that all run, and room for {tasks:d} of them")
def all_run(context: Context, tasks: int) -> None:
    context.now_s += 0.5
    context.room = Size(2_000 * tasks, 2**35, 0)
    context.percent = 0
    _report_running(context)


def _report_running(context: Context) -> None:
    context.percent += 1
    running = tuple(
        RunningTask(task_id, 1, "", context.percent, 0.0)
        for task_id in context.leader.vms[VM].claims
    )
    _report(context, context.room, running=running)


@when("{seconds:d} s pass in which the VM reports so")
def time_passes(context: Context, seconds: int) -> None:
    for _ in range(2 * seconds):
        context.now_s += 0.5
        _report_running(context)
        context.leader.tick(context.now_s, WALL_MS)


@then("{count:d} start is ordered")
@then("{count:d} starts are ordered")
def starts_are(context: Context, count: int) -> None:
    assert len(_starts(context)) == count, context.orders


@then("the other tasks are claimed there again")
def claimed_again(context: Context) -> None:
    runs = [task.run for task in context.leader.vms[VM].claims.values()]
    assert sorted(runs) == [1, 2, 2], runs


@then("no run is stopped")
def none_stopped(context: Context) -> None:
    stops = [stop for orders in context.orders for stop in orders.stops]
    claims = context.leader.vms[VM].claims
    assert not stops, stops
    assert len(claims) == TASKS, claims


@then("no member of the gang holds a claim")
def gang_released(context: Context) -> None:
    claims = [vm.claims for vm in context.leader.vms.values()]
    assert not any(claims), claims


@then("all but {count:d} of the runs are stopped")
def rest_stopped(context: Context, count: int) -> None:
    stops = [stop for orders in context.orders for stop in orders.stops]
    assert len(stops) == TASKS - count, stops


@given("a leader with a VM with room for one task, and a waiting job")
def room_for_one(context: Context) -> None:
    context.now_s = 100.0
    context.sequence = 0
    context.room = TASK.size
    context.leader = CellLeader("e-0", "e-0", 1, 0.0)
    context.leader.on_member(Member(VM, VM, 1))
    add_job(context.leader, "e" * 16, TASK)


def _report_and_plan(context: Context, **changes) -> None:
    context.now_s += 0.5
    _report(context, context.room, **changes)
    context.leader.tick(context.now_s, WALL_MS)


@when("the VM reports that a run of an unknown job is running")
def unknown_runs(context: Context) -> None:
    context.unclaimed = ("0" * 16 + ".0.0.0", 1)
    running = RunningTask(*context.unclaimed, "", 1, 0.0)
    _report_and_plan(context, running=(running,))


@when("the VM reports that an abandoned start is pending")
def abandoned_pending(context: Context) -> None:
    context.unclaimed = ("e" * 16 + ".0.0.2", 1)
    _report_and_plan(context, pending=(context.unclaimed,))


@when("the VM reports that it runs nothing")
def nothing_runs(context: Context) -> None:
    _report_and_plan(context)


@then("the VM gets no claim")
def none_claimed(context: Context) -> None:
    claims = context.leader.vms[VM].claims
    assert not claims, claims


@then("the run is stopped")
def run_stopped(context: Context) -> None:
    stops = [stop for orders in context.orders for stop in orders.stops]
    assert stops == [context.unclaimed], stops


@then("the VM gets a claim")
def one_claimed(context: Context) -> None:
    claims = context.leader.vms[VM].claims
    assert len(claims) == 1, claims
