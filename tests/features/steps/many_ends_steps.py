from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import restarted_worker_steps as worker_steps

from yuccapoint.cell.cell_messages import EndedRun
from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.worker_events import CallResult
from yuccapoint.cell.worker_events import StartCall
from yuccapoint.cell.worker_events import StopCall

if TYPE_CHECKING:
    from behave.runner import Context

# As many as a worker lists at a time.
LISTED_ENDS = 500


@given("an agent whose worker runs a task")
def runs_task(context: Context) -> None:
    worker_steps.make_agent(context)
    worker_steps.deliver(context, run=1)
    [call] = worker_steps.calls(context, StartCall)
    context.vm_agent.on_start_result(call, CallResult.DONE, "", context.now_s)
    context.now_s += 0.3
    running = RunningTask(*worker_steps.FIRST_RUN, "", 0, 0.0)
    worker_steps.answer(context, running=(running,))


@when("the run ends after 500 others that are not acknowledged")
def ends_after_others(context: Context) -> None:
    context.ends = tuple(
        EndedRun(number, f"{number:016x}.0.0.0", 1, "done", "")
        for number in range(1, LISTED_ENDS + 1)
    )
    worker_steps.answer(context, ends=context.ends)


@then("the run is reported as running")
def reported_running(context: Context) -> None:
    message = context.vm_agent.build_report(context.now_s)
    runs = [(task.task_id, task.run) for task in message.running]
    assert runs == [worker_steps.FIRST_RUN], runs


@then("a stop of the run is not reported as its refusal")
def stop_not_refused(context: Context) -> None:
    context.vm_agent.registry.order_stop(*worker_steps.FIRST_RUN)
    [call] = worker_steps.calls(context, StopCall)
    context.vm_agent.on_stop_result(call, CallResult.DONE, context.now_s)
    context.now_s += 0.3
    worker_steps.answer(context, ends=context.ends)
    message = context.vm_agent.build_report(context.now_s)
    assert not message.refused, message.refused


@when("the others are acknowledged and the worker lists its end")
def acknowledge_others(context: Context) -> None:
    worker_steps.deliver(context, acked=LISTED_ENDS)
    end = EndedRun(LISTED_ENDS + 1, *worker_steps.FIRST_RUN, "done", "")
    worker_steps.answer(context, ends=(end,))


@then("the end of the run is reported")
def end_reported(context: Context) -> None:
    message = context.vm_agent.build_report(context.now_s)
    ends = [(end.task_id, end.run, end.how) for end in message.ends]
    assert ends == [(*worker_steps.FIRST_RUN, "done")], ends
    assert not message.refused


@then("an order of another run starts nothing")
def other_run_waits(context: Context) -> None:
    worker_steps.deliver(context, run=2)
    assert not worker_steps.calls(context, StartCall)


@then("an order of another run starts it")
def other_run_starts(context: Context) -> None:
    worker_steps.deliver(context, run=2, acked=LISTED_ENDS + 1)
    assert len(worker_steps.calls(context, StartCall)) == 1
