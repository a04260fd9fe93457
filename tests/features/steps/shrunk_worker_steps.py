from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from cell_leader_steps import add_job
import start_order_steps as order_steps

from yuccapoint.cell.worker_events import CallResult
from yuccapoint.cell.worker_events import StartCall
from yuccapoint.cell.worker_events import StopCall
from yuccapoint.cell.worker_events import WorkerStatus
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

FULL = Size(8_000, 2**35, 0)
# Less than the task of ``order_steps`` needs, in one dimension.
SHRUNK = Size(8_000, 0, 0)


def _report(context: Context) -> None:
    context.delayed = context.vm_agent.build_report(context.now_s)


@given("a leader and an agent whose worker has room for a task")
def worker_with_room(context: Context) -> None:
    order_steps.make_leader_and_agent(context)
    _report(context)


@when("the worker checks in without room")
def worker_shrinks(context: Context) -> None:
    order_steps.check_in(context, SHRUNK)


@when("the worker checks in with room again")
def worker_grows(context: Context) -> None:
    order_steps.check_in(context, FULL)


@when("the worker checks in without room, and that report is on its way")
def shrink_unreported(context: Context) -> None:
    worker_shrinks(context)
    _report(context)


@when("the worker checks in without room while the start is pending")
def shrink_while_pending(context: Context) -> None:
    assert context.started == [(order_steps.TASK_ID, 1)], context.started
    worker_shrinks(context)


@when("a start is ordered and the agent is suspended for {seconds:d} s")
def suspended(context: Context, seconds: int) -> None:
    add_job(context.leader, order_steps.JOB_ID, order_steps.STEP)
    order_steps.plan(context)
    [(_, orders)] = context.leader.collect_orders(
        context.now_s, may_grant=True
    )
    assert orders.starts, orders
    context.suspended_at_s = context.now_s
    context.now_s += seconds
    context.vm_agent.on_orders(orders, context.now_s)
    assert context.vm_agent.lease.is_valid(context.now_s)


@when("a check-in of the time before and the worker's clock arrive")
def outdated_check_in(context: Context) -> None:
    woken_at_s, context.now_s = context.now_s, context.suspended_at_s
    order_steps.check_in(context)
    context.now_s = woken_at_s
    order_steps.answer_poll(context)
    order_steps.make_calls(context)


@when("a check-in and the answer to a poll of the time before arrive")
def outdated_answer(context: Context) -> None:
    woken_at_s, context.now_s = context.now_s, context.suspended_at_s
    order_steps.check_in(context)
    request = context.vm_agent.next_status_request()
    status = WorkerStatus(
        clock_ms=int(context.now_s * 1000), born_ms=1, running=(), ends=()
    )
    context.vm_agent.on_status(
        request, status, context.suspended_at_s, woken_at_s
    )
    context.now_s = woken_at_s
    order_steps.make_calls(context)


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


@then('the start is reported as refused: "{reason}"')
def refused(context: Context, reason: str) -> None:
    _report(context)
    reasons = [run.reason for run in context.delayed.refused]
    assert reasons == [reason], context.delayed


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
