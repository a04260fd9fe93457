from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import start_order_steps as order_steps

from yuccapoint.cell.worker_events import CallResult
from yuccapoint.cell.worker_events import CheckIn
from yuccapoint.cell.worker_events import StartCall
from yuccapoint.cell.worker_events import StopCall
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

FULL = Size(8_000, 2**35, 0)
# Less than the task of ``order_steps`` needs, in one dimension.
SHRUNK = Size(8_000, 0, 0)


def check_in(context: Context, capacity: Size) -> None:
    former = context.vm_agent.check_in
    assert former is not None
    newer = CheckIn(
        instance=former.instance,
        pool=former.pool,
        address=former.address,
        capacity=capacity,
        labels=former.labels,
        draining=False,
        remaining_ms=0,
        clock_ms=int(context.now_s * 1000),
        sequence=former.sequence + 1,
    )
    assert context.vm_agent.on_check_in(newer, context.now_s)


def _report(context: Context) -> None:
    context.delayed = context.vm_agent.build_report(context.now_s)


@given("a leader and an agent whose worker has room for a task")
def worker_with_room(context: Context) -> None:
    order_steps.make_leader_and_agent(context)
    _report(context)


@when("the worker checks in without room")
def worker_shrinks(context: Context) -> None:
    check_in(context, SHRUNK)


@when("the worker checks in with room again")
def worker_grows(context: Context) -> None:
    check_in(context, FULL)


@when("the worker checks in without room, and that report is on its way")
def shrink_unreported(context: Context) -> None:
    worker_shrinks(context)
    _report(context)


@when("the worker checks in without room while the start is pending")
def shrink_while_pending(context: Context) -> None:
    assert context.started == [(order_steps.TASK_ID, 1)], context.started
    worker_shrinks(context)


@when("the start call gets no answer")
def start_unanswered(context: Context) -> None:
    claim = context.leader.vms[order_steps.VM].claims[order_steps.TASK_ID]
    tracked = context.vm_agent.registry._runs[(claim.task_id, claim.run)]
    call = StartCall(tracked.order, 1, 0)
    context.vm_agent.on_start_result(
        call, CallResult.UNANSWERED, "", context.now_s
    )


@when("the leader gets the report")
def deliver(context: Context) -> None:
    for _ in range(3):
        _report(context)
        context.leader.on_report(context.delayed, context.now_s)
        order_steps.plan(context)
        order_steps.pass_orders(context)
        context.now_s += 0.3
        order_steps.answer_poll(context)


@then("the start is not claimed there again")
def not_claimed(context: Context) -> None:
    claims = context.leader.vms[order_steps.VM].claims
    assert not claims, claims
    assert not context.started, context.started


@then("the start is not repeated but stopped")
def stopped(context: Context) -> None:
    context.now_s += 0.5
    calls = context.vm_agent.next_calls(context.now_s)
    kinds = [type(call) for call in calls]
    assert kinds == [StopCall], kinds


def _is_reported(context: Context, capacity: Size) -> None:
    assert context.vm_agent.report_due
    _report(context)
    assert context.delayed.worker.capacity == capacity
    assert not context.vm_agent.report_due


@then("a report of no room is due")
def shrink_due(context: Context) -> None:
    _is_reported(context, SHRUNK)


@then("a report of the room is due")
def growth_due(context: Context) -> None:
    _is_reported(context, FULL)
