from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from cell_leader_steps import deliver_report
from cell_leader_steps import report
from cell_leader_steps import WALL_MS
import msgspec

from yuccapoint.cell.cell_messages import EndedRun
from yuccapoint.cell.cell_messages import LeaderOrders
from yuccapoint.cell.cell_messages import RefusedRun
from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.cell_messages import StartOrder
from yuccapoint.cell.lease_bounds import VM_LEASE_S
from yuccapoint.cell.occurrence_state import Phase
from yuccapoint.cell.occurrence_state import WorkerInstance
from yuccapoint.cell.vm_agent import VmAgent
from yuccapoint.cell.worker_events import CallResult
from yuccapoint.cell.worker_events import CheckIn
from yuccapoint.cell.worker_events import StartCall
from yuccapoint.cell.worker_events import StatusRequest
from yuccapoint.cell.worker_events import StopCall
from yuccapoint.cell.worker_events import WorkerStatus
from yuccapoint.job.size import Size
from yuccapoint.platform.worker_client import fencing_token

if TYPE_CHECKING:
    from behave.runner import Context

VM = "vm-0"
WORKER_ID = "i-0"
TASK_ID = "e" * 16 + ".0.0.0"
FIRST_RUN = (TASK_ID, 1)


def check_in(context: Context) -> None:
    context.sequence += 1
    context.vm_agent.on_check_in(
        CheckIn(
            instance=WorkerInstance(VM, WORKER_ID, context.born_ms),
            pool="pool",
            address="worker",
            capacity=Size(8_000, 2**35, 0),
            labels=(),
            draining=False,
            remaining_ms=0,
            clock_ms=int(1000 * context.now_s),
            sequence=context.sequence,
        ),
        context.now_s,
    )


def answer(
    context: Context,
    running: tuple[RunningTask, ...] = (),
    ends: tuple[EndedRun, ...] = (),
) -> None:
    request = context.vm_agent.next_status_request()
    context.now_s += 0.01
    status = WorkerStatus(
        clock_ms=int(1000 * context.now_s),
        born_ms=context.born_ms,
        running=running,
        ends=ends,
    )
    context.vm_agent.on_status(
        request, status, context.now_s - 0.01, context.now_s
    )


def _orders(
    context: Context,
    run: int = 0,
    acked: int = 0,
    answers: int | None = None,
    stopped: int = 0,
) -> LeaderOrders:
    if answers is None:
        answers = context.vm_agent.build_report(context.now_s).sequence
    context.order_sequence += 1
    starts = (StartOrder(TASK_ID, run, "payload", ""),) if run else ()
    return LeaderOrders(
        vm=VM,
        term=1,
        leader="e-0",
        address="e-0",
        sequence=context.order_sequence,
        answers=answers,
        agent_incarnation=1,
        lease_ms=int(VM_LEASE_S * 1000),
        instance=WorkerInstance(VM, WORKER_ID, context.born_ms),
        acked_end_number=acked,
        starts=starts,
        awaited=tuple((start.task_id, start.run) for start in starts),
        stops=((TASK_ID, stopped),) if stopped else (),
        traits=(),
        pairs=(),
    )


def deliver(context: Context, **orders) -> None:
    context.vm_agent.on_orders(_orders(context, **orders), context.now_s)


def make_unanswered_agent(context: Context, born_ms: int = 1) -> None:
    # Past the time in which calls of a former agent may be executed.
    context.now_s = 100.0
    context.born_ms = born_ms
    context.sequence = 0
    context.order_sequence = 0
    context.tokens = []
    context.vm_agent = VmAgent(VM, VM, 1, 0.0)
    check_in(context)
    deliver(context)


def make_agent(context: Context, born_ms: int = 1) -> None:
    make_unanswered_agent(context, born_ms)
    answer(context)


def calls(context: Context, kind: type) -> list:
    calls = context.vm_agent.next_calls(context.now_s)
    return [call for call in calls if isinstance(call, kind)]


def _run_start(context: Context, result: CallResult) -> None:
    [call] = calls(context, StartCall)
    context.vm_agent.on_start_result(call, result, "", context.now_s)
    context.now_s += 0.3


@given("an agent whose worker has not answered yet")
def not_answered(context: Context) -> None:
    make_unanswered_agent(context)


@given("an agent whose worker carries out a start on the second call")
def started_on_second_call(context: Context) -> None:
    make_agent(context)
    deliver(context, run=1)
    _run_start(context, CallResult.UNANSWERED)
    _run_start(context, CallResult.DONE)
    answer(context, running=(RunningTask(*FIRST_RUN, "", 0, 0.0),))


@given("an agent whose worker lists an end as done")
def lists_end(context: Context) -> None:
    make_agent(context)
    deliver(context, run=1)
    _run_start(context, CallResult.DONE)
    answer(context, ends=(EndedRun(1, *FIRST_RUN, "done", ""),))


@given("an agent whose start is executed by the worker's next instance")
def started_on_next_instance(context: Context) -> None:
    make_agent(context)
    deliver(context, run=1)
    [call] = calls(context, StartCall)
    # The clock of the new instance has just started.
    context.vm_agent.on_start_result(
        call, CallResult.DONE, "", context.now_s, 13
    )


@given("an agent whose start is unanswered and whose run is being stopped")
def stop_unanswered_start(context: Context) -> None:
    make_agent(context)
    deliver(context, run=1)
    _run_start(context, CallResult.UNANSWERED)
    deliver(context, stopped=1)
    [context.stop] = calls(context, StopCall)


@when("the former instance confirms the stop")
def confirm_former_stop(context: Context) -> None:
    context.vm_agent.on_stop_result(
        context.stop, CallResult.DONE, context.now_s
    )


@when("the new instance confirms the stop")
def confirm_new_stop(context: Context) -> None:
    [stop] = calls(context, StopCall)
    context.vm_agent.on_stop_result(stop, CallResult.DONE, context.now_s)


@when("a poll is under way and the worker restarts under its id")
def restart_during_poll(context: Context) -> None:
    context.poll = context.vm_agent.next_status_request()
    restart_worker(context, 0)


@when("the new instance answers that poll")
def answer_former_poll(context: Context) -> None:
    status = WorkerStatus(
        clock_ms=13, born_ms=context.born_ms, running=(), ends=()
    )
    context.now_s += 0.01
    context.vm_agent.on_status(
        context.poll, status, context.now_s - 0.02, context.now_s
    )


@then("the worker is reported without its runs")
def reported_unlisted(context: Context) -> None:
    message = context.vm_agent.build_report(context.now_s)
    assert message.worker.instance.born_ms == context.born_ms
    assert not message.runs_listed


@then("the worker is reported with its runs")
def reported_listed(context: Context) -> None:
    assert context.vm_agent.build_report(context.now_s).runs_listed


@when("a poll lists no run")
def list_nothing(context: Context) -> None:
    context.now_s += 0.1
    answer(context)


@then("no run is suspected of the crash")
def no_suspect(context: Context) -> None:
    agent = context.vm_agent
    crashes = agent.crash_log.build_report(agent.incarnation, context.now_s)
    assert crashes is None, crashes


@when("that instance checks in and confirms the stop of the run")
def confirm_stop(context: Context) -> None:
    restart_worker(context, 0)
    [stop] = calls(context, StopCall)
    assert (stop.task_id, stop.run) == FIRST_RUN, stop
    context.now_s += 0.01
    context.vm_agent.on_stop_result(stop, CallResult.DONE, context.now_s)


@when("a poll lists the run as running")
def list_running(context: Context) -> None:
    context.now_s += 0.3
    answer(context, running=(RunningTask(*FIRST_RUN, "", 0, 0.0),))


@when("a poll lists the run as stopped")
def list_stopped(context: Context) -> None:
    context.now_s += 0.3
    answer(context, ends=(EndedRun(1, *FIRST_RUN, "stopped", ""),))


@then("the worker is reported with the end of the run")
def reported_with_end(context: Context) -> None:
    message = context.vm_agent.build_report(context.now_s)
    assert message.worker is not None
    assert message.worker.instance.born_ms == context.born_ms
    assert [(end.task_id, end.run) for end in message.ends] == [FIRST_RUN]


@when("the run ends as done and the end is acknowledged")
def ends_and_acknowledged(context: Context) -> None:
    answer(context, ends=(EndedRun(1, *FIRST_RUN, "done", ""),))
    deliver(context, acked=1)
    answer(context)


@when("the worker restarts under its id after {seconds:d} s")
def restart_worker(context: Context, seconds: int) -> None:
    context.former_poll = context.vm_agent.next_status_request()
    context.now_s += seconds
    context.born_ms += 1
    context.sequence = 0
    check_in(context)


@when("the worker restarts under its id with an earlier start time")
def restart_earlier(context: Context) -> None:
    context.former_poll = context.vm_agent.next_status_request()
    context.born_ms -= 1
    # The poll is answered by an instance that has not checked in.
    answer(context)
    context.sequence = 0
    check_in(context)


@when("the worker restarts under its id with start time {born_ms:d}")
def restart_at(context: Context, born_ms: int) -> None:
    context.born_ms = born_ms - 1
    restart_worker(context, 1)


@when("{polls:d} polls are refused for their token")
def polls_refused(context: Context, polls: int) -> None:
    for _ in range(polls):
        request = context.vm_agent.next_status_request()
        context.vm_agent.on_status_failed(request, context.now_s, fenced=True)


def _token(request: StatusRequest) -> int:
    return fencing_token(request.term, request.fence)


@then("the next poll has a higher token than all calls before")
def higher_token(context: Context) -> None:
    request = context.vm_agent.next_status_request()
    assert request.instance.born_ms == context.born_ms
    former = [*context.tokens, _token(context.former_poll)]
    assert _token(request) > max(former), former
    context.tokens.append(_token(request))


@when(
    "the agent restarts and the worker has seen the token of {ahead_s:d} s"
    " later"
)
def agent_restarts(context: Context, ahead_s: int) -> None:
    born_ms = context.born_ms
    make_agent(context, born_ms)
    context.seen_token = fencing_token(1, born_ms + 1000 * ahead_s)


@then("a poll is taken after at most {refusals:d} refused ones")
def poll_taken(context: Context, refusals: int) -> None:
    agent = context.vm_agent
    context.refused = 0
    request = agent.next_status_request()
    while _token(request) < context.seen_token:
        context.refused += 1
        agent.on_status_failed(request, context.now_s, fenced=True)
        request = agent.next_status_request()
    assert 0 < context.refused <= refusals, context.refused
    answer(context)
    assert agent.build_report(context.now_s).runs_listed


@then("the refusals are logged")
def refusals_logged(context: Context) -> None:
    logged = [
        explained
        for explained in context.vm_agent.explanations
        if "raised" in explained.fields
    ]
    assert len(logged) == context.refused, logged


@when("a poll is under way, and a delayed check-in and the worker's follow")
def poll_between(context: Context) -> None:
    context.poll = context.vm_agent.next_status_request()
    worker_born_ms = context.born_ms
    context.born_ms += 1
    check_in(context)
    context.born_ms = worker_born_ms
    answer(context)
    check_in(context)


@when("the worker answers the poll under way")
def answer_poll_under_way(context: Context) -> None:
    status = WorkerStatus(
        clock_ms=int(1000 * context.now_s),
        born_ms=context.born_ms,
        running=(),
        ends=(),
    )
    context.vm_agent.on_status(
        context.poll, status, context.now_s - 0.01, context.now_s
    )


@when("a leader of a later term sends orders")
def later_term(context: Context) -> None:
    orders = _orders(context)
    context.vm_agent.on_orders(
        msgspec.structs.replace(orders, term=2), context.now_s
    )


@when("{seconds:d} s pass at the agent")
def wait_at_agent(context: Context, seconds: int) -> None:
    context.now_s += seconds


@when("the leader acknowledges it")
def acknowledge(context: Context) -> None:
    deliver(context, acked=1)


@when("the leader acknowledges it and the poll that says so is unanswered")
def acknowledge_unanswered(context: Context) -> None:
    deliver(context, acked=1)
    request = context.vm_agent.next_status_request()
    assert request.last_seen == 1, request.last_seen
    context.vm_agent.on_status_failed(request, context.now_s)


@given("a poll is unanswered")
@when("a poll is unanswered")
def poll_unanswered(context: Context) -> None:
    request = context.vm_agent.next_status_request()
    context.vm_agent.on_status_failed(request, context.now_s)


@when("a poll is answered by an instance that has not checked in")
def answered_by_unknown(context: Context) -> None:
    context.born_ms += 1
    answer(context)
    context.born_ms -= 1


@when("its leader orders a second run")
def order_second_run(context: Context) -> None:
    deliver(context, run=2)


@then('the start is refused as "{reason}"')
def refused_as(context: Context, reason: str) -> None:
    message = context.vm_agent.build_report(context.now_s)
    assert [run.reason for run in message.refused] == [reason], message


@when("that poll is unanswered")
def former_poll_unanswered(context: Context) -> None:
    context.vm_agent.on_status_failed(context.poll, context.now_s)


@then("the next poll renews the lease")
def renews_lease(context: Context) -> None:
    request = context.vm_agent.next_status_request()
    assert request.lease_until_clock_ms is not None


@when("the worker answers that poll")
def answer_poll(context: Context) -> None:
    status = WorkerStatus(
        clock_ms=int(1000 * context.now_s), born_ms=1, running=(), ends=()
    )
    context.now_s += 0.01
    context.vm_agent.on_status(
        context.poll, status, context.now_s - 0.01, context.now_s
    )


@then("the next poll acknowledges end {number:d} and is answered at once")
def poll_at_once(context: Context, number: int) -> None:
    context.poll = context.vm_agent.next_status_request()
    assert context.poll.last_seen == number, context.poll.last_seen
    assert context.poll.wait_ms == 0, context.poll.wait_ms


@then("the next poll acknowledges end {number:d} and waits for an end")
def poll_waits_for_end(context: Context, number: int) -> None:
    context.poll = context.vm_agent.next_status_request()
    assert context.poll.last_seen == number, context.poll.last_seen
    assert context.poll.wait_ms > 0


@then("the run is stopped there before the worker is reported")
def stopped_first(context: Context) -> None:
    message = context.vm_agent.build_report(context.now_s)
    assert message.worker is None, message.worker
    stops = calls(context, StopCall)
    assert [(call.task_id, call.run) for call in stops] == [FIRST_RUN], stops
    context.vm_agent.on_stop_result(stops[0], CallResult.DONE, context.now_s)
    message = context.vm_agent.build_report(context.now_s)
    assert message.worker is None, message.worker
    context.now_s += 0.01
    answer(context)
    message = context.vm_agent.build_report(context.now_s)
    assert message.worker.instance.born_ms == context.born_ms


@then("the worker is not reported")
def not_reported(context: Context) -> None:
    assert context.vm_agent.build_report(context.now_s).worker is None


@then("the worker is reported and no run is stopped there")
def reported(context: Context) -> None:
    message = context.vm_agent.build_report(context.now_s)
    assert message.worker is not None
    assert message.worker.instance.born_ms == context.born_ms
    assert not calls(context, StopCall)


@given("an agent whose worker has been silent until its lease expired")
def silent_worker(context: Context) -> None:
    make_agent(context)
    for _ in range(2):
        request = context.vm_agent.next_status_request()
        context.vm_agent.on_status_failed(request, context.now_s)
    context.now_s += VM_LEASE_S + 0.2
    context.older_report = context.vm_agent.build_report(context.now_s)
    assert not context.older_report.worker.lease_expired
    context.now_s += 0.4


@when("it reports so, the worker answers again and an older order arrives")
def older_order(context: Context) -> None:
    message = context.vm_agent.build_report(context.now_s)
    assert message.worker.lease_expired
    check_in(context)
    answer(context)
    deliver(context, run=1, answers=context.older_report.sequence)


@when("the leader answers the report with an order of the next run")
def newer_order(context: Context) -> None:
    deliver(context, run=2)


@then("the worker is not called")
def not_called(context: Context) -> None:
    assert not calls(context, StartCall)


def restarted(
    context: Context, vm: str, incarnation: int, refused: tuple = ()
):
    message = report(vm, 40 + incarnation, refused=refused)
    instance = WorkerInstance(vm, f"i-{vm}", 2)
    worker = msgspec.structs.replace(message.worker, instance=instance)
    return msgspec.structs.replace(
        message, worker=worker, incarnation=incarnation
    )


def work_on(context: Context, message) -> None:
    deliver_report(context.leader, message, context.now_s)
    context.leader.tick(context.now_s, WALL_MS)
    context.leader.commit(context.leader.collect_batch())


@when('the worker of "{vm}" restarts under its id')
def restart_reported(context: Context, vm: str) -> None:
    context.lost = list(context.leader.vms[vm].claims.values())
    work_on(context, restarted(context, vm, 1))


@when('the worker and the agent of "{vm}" restart, the worker under its id')
def restart_both(context: Context, vm: str) -> None:
    context.lost = list(context.leader.vms[vm].claims.values())
    assert context.lost
    starts = context.leader.collect_orders(context.now_s, may_grant=True)
    assert any(orders.starts for _, orders in starts)
    context.message = restarted(context, vm, 2)
    context.leader.on_report(context.message, context.now_s)
    context.leader.tick(context.now_s, WALL_MS)
    context.leader.commit(context.leader.collect_batch())


@then('the tasks on "{vm}" are not claimed elsewhere and are to be stopped')
def to_be_stopped(context: Context, vm: str) -> None:
    ledger = context.leader.vms[vm]
    runs = {(task.task_id, task.run) for task in context.lost}
    assert all(task.instance.vm == vm for task in context.lost)
    orders = context.leader.collect_orders(context.now_s, may_grant=True)
    [stops] = [set(sent.stops) for to, sent in orders if to is ledger]
    assert stops == runs, (stops, runs)


@when('the agent of "{vm}" reports that their starts are blocked')
def blocked(context: Context, vm: str) -> None:
    refused = tuple(
        RefusedRun(task.task_id, task.run, "stopped") for task in context.lost
    )
    message = restarted(context, vm, 2, refused)
    message = msgspec.structs.replace(message, sequence=99)
    work_on(context, message)


@then("all its tasks are claimed with a higher run")
def claimed_again(context: Context) -> None:
    for task in context.lost:
        assert task.phase is Phase.CLAIMED, task.phase
        assert task.run == 2, task.run
        assert task.instance.born_ms == 2 or task.instance.vm != VM


@when('the worker of "{vm}", not reported yet, runs a task of "{other}"')
def late_start_runs(context: Context, vm: str, other: str) -> None:
    context.late_task, *_ = context.leader.vms[other].claims.values()
    running = (RunningTask(context.late_task.task_id, 0, "", 5, 0.0),)
    message = report(vm, 40, worker=None, running=running)
    work_on(context, message)


@when("{millis:d} ms pass without another such report")
def pass_without_report(context: Context, millis: int) -> None:
    context.now_s += millis / 1000
    context.leader.tick(context.now_s, WALL_MS)
    context.leader.commit(context.leader.collect_batch())


@then("that task waits, and the other one is claimed with a higher run")
def late_task_waits(context: Context) -> None:
    assert context.late_task.phase is Phase.WAITING, context.late_task.phase
    [other] = [task for task in context.lost if task is not context.late_task]
    assert other.phase is Phase.CLAIMED, other.phase
    assert other.run == 2, other.run
