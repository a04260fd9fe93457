from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import restarted_worker_steps as worker_steps

from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.occurrence_state import WorkerInstance
from yuccapoint.cell.worker_events import CallResult
from yuccapoint.cell.worker_events import CheckIn
from yuccapoint.cell.worker_events import StartCall
from yuccapoint.cell.worker_events import WorkerStatus
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

    from yuccapoint.cell.crash_messages import CrashReport

# How long the next instance had run when it answered the start.
NEXT_CLOCK_MS = 50


@given("an agent whose start is lost and then executed by the next instance")
def executed_by_next(context: Context) -> None:
    worker_steps.make_agent(context)
    worker_steps.deliver(context, run=1)
    agent = context.vm_agent
    [call] = worker_steps.calls(context, StartCall)
    agent.on_start_result(call, CallResult.UNANSWERED, "", context.now_s)
    context.now_s += 0.3
    [call] = worker_steps.calls(context, StartCall)
    agent.on_start_result(
        call, CallResult.DONE, "", context.now_s, NEXT_CLOCK_MS
    )
    context.started_at_s = context.now_s


def _check_in(context: Context, after_ms: int, clock_ms: int) -> None:
    context.now_s = context.started_at_s + after_ms / 1000
    context.born_ms += 1
    context.clock_ms = clock_ms
    context.clock_at_s = context.now_s
    context.vm_agent.on_check_in(
        CheckIn(
            instance=WorkerInstance(
                worker_steps.VM, worker_steps.WORKER_ID, context.born_ms
            ),
            pool="pool",
            address="worker",
            capacity=Size(8_000, 2**35, 0),
            labels=(),
            draining=False,
            remaining_ms=0,
            clock_ms=clock_ms,
            sequence=1,
        ),
        context.now_s,
    )


@when("that instance checks in {after_ms:d} ms after the start")
def next_checks_in(context: Context, after_ms: int) -> None:
    _check_in(context, after_ms, NEXT_CLOCK_MS + after_ms)


@when(
    "an instance that began after the start checks in {after_ms:d} ms after it"
)
def later_checks_in(context: Context, after_ms: int) -> None:
    _check_in(context, after_ms, after_ms - 30)


@when("it answers a poll that was sent {after_ms:d} ms after the start")
def answers_poll(context: Context, after_ms: int) -> None:
    agent = context.vm_agent
    sent_at_s = context.started_at_s + after_ms / 1000
    request = agent.next_status_request()
    context.now_s = sent_at_s + 0.01
    elapsed_s = context.now_s - context.clock_at_s
    run = RunningTask(*worker_steps.FIRST_RUN, "", 0, 0.0)
    status = WorkerStatus(
        clock_ms=context.clock_ms + int(1000 * elapsed_s),
        born_ms=context.born_ms,
        running=(run,),
        ends=(),
    )
    agent.on_status(request, status, sent_at_s, context.now_s)


def _report(context: Context) -> CrashReport | None:
    agent = context.vm_agent
    return agent.crash_log.build_report(agent.incarnation, context.now_s)


@then("the run is suspected of the crash")
def is_suspected(context: Context) -> None:
    message = _report(context)
    assert message is not None
    [suspects] = message.crashes
    [suspect] = suspects
    assert (suspect.task_id, suspect.run) == worker_steps.FIRST_RUN, suspect
    assert not suspect.started


@then("the run is not proven")
def not_proven(context: Context) -> None:
    message = _report(context)
    assert message is not None
    assert not message.proven, message.proven


@then("the run is proven not to have crashed its worker")
def proven(context: Context) -> None:
    message = _report(context)
    assert message is not None
    assert message.proven == (worker_steps.FIRST_RUN,), message.proven
    assert context.vm_agent.report_due
