from __future__ import annotations

from typing import TYPE_CHECKING

from behave import when
import restarted_worker_steps as worker_steps

from yuccapoint.cell.cell_messages import EndedRun
from yuccapoint.cell.worker_events import WorkerStatus

if TYPE_CHECKING:
    from behave.runner import Context


@when("the leader acknowledges it and the poll that says so is in flight")
def acknowledge_in_flight(context: Context) -> None:
    worker_steps.deliver(context, acked=1)
    context.poll = context.vm_agent.next_status_request()
    assert context.poll.last_seen == 1, context.poll.last_seen


@when("the poll in flight is unanswered")
def fail_poll_in_flight(context: Context) -> None:
    context.now_s += 0.6
    context.vm_agent.on_status_failed(context.poll, context.now_s)


@when("the new instance answers the poll in flight")
def answer_poll_in_flight(context: Context) -> None:
    status = WorkerStatus(
        clock_ms=1, born_ms=context.born_ms, running=(), ends=()
    )
    sent_at_s = context.now_s
    context.now_s += 0.01
    context.vm_agent.on_status(context.poll, status, sent_at_s, context.now_s)


@when("it lists an end as done that the leader acknowledges")
def list_and_acknowledge(context: Context) -> None:
    end = EndedRun(1, worker_steps.TASK_ID, 2, "done", "")
    worker_steps.answer(context, ends=(end,))
    worker_steps.deliver(context, acked=1)
