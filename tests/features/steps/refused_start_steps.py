from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import restarted_worker_steps as worker_steps

from yuccapoint.cell.worker_events import CallResult
from yuccapoint.cell.worker_events import StartCall

if TYPE_CHECKING:
    from behave.runner import Context


def _refused_runs(context: Context) -> list[tuple[str, int]]:
    message = context.vm_agent.build_report(context.now_s)
    return [(refused.task_id, refused.run) for refused in message.refused]


@given("an agent whose worker has no room for a start")
def refused_for_room(context: Context) -> None:
    worker_steps.make_agent(context)
    worker_steps.deliver(context, run=1)
    context.older_report = context.vm_agent.build_report(context.now_s)
    [call] = worker_steps.calls(context, StartCall)
    context.vm_agent.on_start_result(
        call, CallResult.REFUSED, "room", context.now_s
    )
    context.now_s += 0.3


@when("an order without the start, older than the refusal, arrives")
def older_order_without_start(context: Context) -> None:
    worker_steps.deliver(context, answers=context.older_report.sequence)


@when("an order with the start, older than the refusal, arrives")
def older_order_with_start(context: Context) -> None:
    worker_steps.deliver(context, run=1, answers=context.older_report.sequence)


@when("it reports the refusal without the worker, and that is answered")
def answer_without_worker(context: Context) -> None:
    agent = context.vm_agent
    check_in, agent._worker.check_in = agent.check_in, None
    message = agent.build_report(context.now_s)
    assert message.worker is None
    agent._worker.check_in = check_in
    worker_steps.deliver(context, answers=message.sequence)


@when("the leader answers a report of the refusal")
def answer_refusal(context: Context) -> None:
    worker_steps.deliver(context)


@then("the start is not sent again and reported as refused")
def still_refused(context: Context) -> None:
    assert not worker_steps.calls(context, StartCall)
    assert _refused_runs(context) == [worker_steps.FIRST_RUN]


@then("the start is not reported any more")
def refusal_dropped(context: Context) -> None:
    assert not _refused_runs(context)
