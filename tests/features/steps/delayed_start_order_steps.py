from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import when
from cell_leader_steps import add_job
from start_order_steps import answer_poll
from start_order_steps import claim_elsewhere
from start_order_steps import JOB_ID
from start_order_steps import make_leader_and_agent
from start_order_steps import pass_orders
from start_order_steps import plan
from start_order_steps import STEP
from start_order_steps import TASK_ID
from start_order_steps import VM

if TYPE_CHECKING:
    from behave.runner import Context


def _fail_poll(context: Context) -> None:
    request = context.vm_agent.next_status_request()
    context.vm_agent.on_status_failed(request, context.now_s)


@given("a leader and an agent whose worker does not answer")
def worker_silent(context: Context) -> None:
    make_leader_and_agent(context)
    _fail_poll(context)
    _fail_poll(context)


@when("the leader orders a start, and the refusal is on its way")
def delay_refusal(context: Context) -> None:
    order_start(context)
    assert not context.started, context.started
    context.delayed = context.vm_agent.build_report(context.now_s)
    refused = [(run.task_id, run.run) for run in context.delayed.refused]
    assert refused == [(TASK_ID, 1)], refused


@when("other orders reach the agent")
def other_orders(context: Context) -> None:
    context.now_s += 0.05
    add_job(context.leader, "0" * 16, STEP)
    plan(context)
    pass_orders(context)


@when("the worker answers again")
def worker_answers(context: Context) -> None:
    answer_poll(context)


@when("the leader repeats the start")
def repeat_start(context: Context) -> None:
    context.now_s += 0.6
    pass_orders(context)


@when("a report that the worker's lease has expired is on its way")
def delay_expiry(context: Context) -> None:
    for _ in range(6):
        context.now_s += 1.0
        context.delayed = context.vm_agent.build_report(context.now_s)
        if not context.delayed.worker.lease_expired:
            context.leader.on_report(context.delayed, context.now_s)
            pass_orders(context)
    assert context.delayed.worker.lease_expired
    assert not context.leader.vms[VM].worker.lease_expired


@when("the leader orders a start by its last report")
def order_start(context: Context) -> None:
    add_job(context.leader, JOB_ID, STEP)
    plan(context)
    pass_orders(context)


@when("the leader gets the report and claims the next run elsewhere")
def report_arrives(context: Context) -> None:
    context.leader.on_report(context.delayed, context.now_s)
    claim_elsewhere(context)
