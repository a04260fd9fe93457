from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from cell_leader_steps import deliver_report
from cell_leader_steps import report
from cell_leader_steps import WALL_MS
import msgspec
import restarted_worker_steps as worker_steps

from yuccapoint.cell.cell_messages import EndedRun
from yuccapoint.cell.cell_messages import RefusedRun
from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.occurrence_state import Phase
from yuccapoint.cell.occurrence_state import WorkerInstance
from yuccapoint.cell.worker_events import StartCall
from yuccapoint.cell.worker_events import StopCall
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


def _report_each_second(context: Context, vm: str, seconds: int) -> None:
    leader = context.leader
    for _ in range(seconds):
        context.now_s += 1.0
        for ledger in leader.vms.values():
            if ledger.name != vm:
                message = report(ledger.name, ledger.report_sequence + 1)
                deliver_report(leader, message, context.now_s)
                continue
            running = tuple(
                RunningTask(task.task_id, task.run, "", 0, 0.0)
                for task in context.lost
            )
            message = report(
                vm, ledger.report_sequence + 1, running=running, incarnation=2
            )
            deliver_report(leader, message, context.now_s)


@when('the agent of "{vm}" restarts and reports the same instance')
def restart_agent(context: Context, vm: str) -> None:
    context.lost = list(context.leader.vms[vm].claims.values())
    assert context.lost
    starts = context.leader.collect_orders(context.now_s, may_grant=True)
    assert any(orders.starts for _, orders in starts)
    _report_each_second(context, vm, 1)


@when('the worker of "{vm}" restarts under its id {seconds:d} s later')
def restart_worker_later(context: Context, vm: str, seconds: int) -> None:
    _report_each_second(context, vm, seconds)
    leader = context.leader
    message = worker_steps.restarted(context, vm, 2)
    leader.on_report(message, context.now_s)
    leader.tick(context.now_s, WALL_MS)
    leader.commit(leader.collect_batch())


@given("an agent whose worker was started at {born_ms:d} ms")
def worker_started_at(context: Context, born_ms: int) -> None:
    worker_steps.make_agent(context)
    context.born_ms = born_ms
    worker_steps.check_in(context)
    worker_steps.deliver(context)
    worker_steps.answer(context)


@when("the worker restarts under its id at {born_ms:d} ms and answers a poll")
def restart_at(context: Context, born_ms: int) -> None:
    context.born_ms = born_ms
    context.sequence = 0
    worker_steps.check_in(context)
    worker_steps.answer(context)
    worker_steps.check_in(context)


@when("a check-in of an instance that was started at {born_ms:d} ms arrives")
def delayed_check_in(context: Context, born_ms: int) -> None:
    context.born_ms = born_ms
    worker_steps.check_in(context)


@then("the instance that was started at {born_ms:d} ms is reported")
def reported_born(context: Context, born_ms: int) -> None:
    message = context.vm_agent.build_report(context.now_s)
    assert message.worker.instance.born_ms == born_ms


def _report_born_earlier(
    context: Context, vm: str, *, runs_listed: bool
) -> None:
    context.lost = list(context.leader.vms[vm].claims.values())
    assert context.lost
    message = report(vm, 50, runs_listed=runs_listed)
    worker = msgspec.structs.replace(
        message.worker, instance=WorkerInstance(vm, f"i-{vm}", 0)
    )
    message = msgspec.structs.replace(message, worker=worker)
    worker_steps.work_on(context, message)


@when('the worker of "{vm}" restarts with an earlier start time')
def restart_born_earlier(context: Context, vm: str) -> None:
    _report_born_earlier(context, vm, runs_listed=True)


@when('an instance of "{vm}" born earlier is reported without its runs')
def unlisted_born_earlier(context: Context, vm: str) -> None:
    _report_born_earlier(context, vm, runs_listed=False)


@then("all its tasks get a second run")
def second_run(context: Context) -> None:
    for task in context.lost:
        assert task.phase is Phase.CLAIMED, task.phase
        assert task.run == 2, task.run


@then("its tasks keep their first run")
def first_run_kept(context: Context) -> None:
    for task in context.lost:
        assert task.run == 1, task.run
        assert task.instance.born_ms == 1


@when('the tasks on "{vm}" end as done')
def end_as_done(context: Context, vm: str) -> None:
    leader = context.leader
    context.lost = list(leader.vms[vm].claims.values())
    assert context.lost
    leader.collect_orders(context.now_s, may_grant=True)
    ends = tuple(
        EndedRun(number, task.task_id, task.run, "done", "")
        for number, task in enumerate(context.lost, start=1)
    )
    deliver_report(leader, report(vm, 30, ends=ends), context.now_s)
    assert all(task.phase is Phase.DONE for task in context.lost)


@when('the worker and the agent of "{vm}" restart soon after')
def restart_both_soon(context: Context, vm: str) -> None:
    context.leader.on_report(
        worker_steps.restarted(context, vm, 2), context.now_s
    )


def _stops(context: Context, vm: str) -> set[tuple[str, int]]:
    ledger = context.leader.vms[vm]
    orders = context.leader.collect_orders(context.now_s, may_grant=True)
    [stops] = [set(sent.stops) for to, sent in orders if to is ledger]
    return stops


@then('the runs that ended on "{vm}" are to be stopped')
def ended_runs_to_be_stopped(context: Context, vm: str) -> None:
    assert _stops(context, vm) == {(t.task_id, 1) for t in context.lost}


@when('the agent of "{vm}" reports that these can\'t start')
def report_blocked(context: Context, vm: str) -> None:
    refused = tuple(
        RefusedRun(task.task_id, 1, "stopped") for task in context.lost
    )
    message = worker_steps.restarted(context, vm, 2, refused)
    message = msgspec.structs.replace(message, sequence=99)
    context.leader.on_report(message, context.now_s)


@then('no run on "{vm}" is to be stopped')
def none_to_be_stopped(context: Context, vm: str) -> None:
    assert not _stops(context, vm)


@when("it lists a run that the agent did not start")
def list_unknown_run(context: Context) -> None:
    running = RunningTask(worker_steps.TASK_ID, 3, "", 0, 0.0)
    worker_steps.answer(context, running=(running,))


@then("that run is stopped")
def unknown_run_stopped(context: Context) -> None:
    stops = worker_steps.calls(context, StopCall)
    runs = [(call.task_id, call.run) for call in stops]
    assert runs == [(worker_steps.TASK_ID, 3)], runs


@when("a notice arrives that the worker ends")
def late_notice(context: Context) -> None:
    context.vm_agent.on_leave(worker_steps.WORKER_ID, context.now_s)


@when("a notice arrives that the worker ends while a poll is under way")
def notice_during_poll(context: Context) -> None:
    context.poll = context.vm_agent.next_status_request()
    context.vm_agent.on_leave(worker_steps.WORKER_ID, context.now_s + 0.1)


@then("the worker is reported as ready and the start is sent")
def ready(context: Context) -> None:
    message = context.vm_agent.build_report(context.now_s)
    assert not message.worker.draining
    assert len(worker_steps.calls(context, StartCall)) == 1
