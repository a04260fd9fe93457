from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from cell_leader_steps import deliver_report
from cell_leader_steps import report
from cell_leader_steps import WALL_MS

from yuccapoint.cell.cell_messages import LeaderOrders
from yuccapoint.cell.cell_messages import RefusedRun
from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.cell_messages import StartOrder
from yuccapoint.cell.cell_messages import TaskTraits
from yuccapoint.cell.lease_bounds import VM_LEASE_S
from yuccapoint.cell.occurrence_state import WorkerInstance
from yuccapoint.cell.vm_agent import VmAgent
from yuccapoint.cell.worker_events import CheckIn
from yuccapoint.cell.worker_events import StartCall
from yuccapoint.cell.worker_events import WorkerStatus
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

VM = "vm-0"
INSTANCE = WorkerInstance(VM, "i-0", 1)
TASK_ID = "e" * 16 + ".0.0.0"


def _answer(context: Context) -> None:
    status = WorkerStatus(clock_ms=1_000, born_ms=1, running=(), ends=())
    request = context.vm_agent.next_status_request()
    context.vm_agent.on_status(request, status, context.now_s, context.now_s)


def _order(context: Context, run: int) -> None:
    agent = context.vm_agent
    message = agent.build_report(context.now_s)
    context.sequence += 1
    agent.on_orders(
        LeaderOrders(
            vm=VM,
            term=1,
            leader="e-0",
            address="e-0",
            sequence=context.sequence,
            answers=message.sequence,
            agent_incarnation=1,
            lease_ms=int(VM_LEASE_S * 1000),
            instance=INSTANCE,
            acked_end_number=0,
            starts=(StartOrder(TASK_ID, run, "payload", ""),) if run else (),
            awaited=((TASK_ID, run),) if run else (),
            stops=(),
            traits=(),
            pairs=(),
        ),
        context.now_s,
    )


@given("an agent whose worker has not answered {polls:d} polls")
def unanswered(context: Context, polls: int) -> None:
    # Past the time in which calls of a former agent may be executed.
    context.now_s = 100.0
    context.sequence = 0
    context.vm_agent = VmAgent(VM, VM, 1, 0.0)
    context.vm_agent.on_check_in(
        CheckIn(
            instance=INSTANCE,
            pool="pool",
            address="worker",
            capacity=Size(8_000, 2**35, 0),
            labels=(),
            draining=False,
            remaining_ms=0,
            clock_ms=1_000,
            sequence=1,
        ),
        context.now_s,
    )
    _order(context, 0)
    _answer(context)
    for _ in range(polls):
        request = context.vm_agent.next_status_request()
        context.vm_agent.on_status_failed(request, context.now_s)


@when("the leader orders a start")
def order_start(context: Context) -> None:
    _order(context, 1)


@when("the worker answers a poll")
def poll_answered(context: Context) -> None:
    _answer(context)


@when("the leader orders the next run")
def order_next(context: Context) -> None:
    _order(context, 2)


def _start_calls(context: Context) -> list[StartCall]:
    calls = context.vm_agent.next_calls(context.now_s)
    return [call for call in calls if isinstance(call, StartCall)]


@then("the start is reported as refused and the worker was not called")
def refused(context: Context) -> None:
    assert not _start_calls(context)
    message = context.vm_agent.build_report(context.now_s)
    expected = (RefusedRun(TASK_ID, 1, "unreachable"),)
    assert message.refused == expected, message.refused


@then("the worker is called")
def called(context: Context) -> None:
    calls = _start_calls(context)
    assert [call.order.run for call in calls] == [2], calls


@when('"{vm}" refuses its starts as its worker does not answer')
def refuse_starts(context: Context, vm: str) -> None:
    leader = context.leader
    refused_runs = tuple(
        RefusedRun(task.task_id, task.run, "unreachable")
        for task in leader.vms[vm].claims.values()
    )
    assert refused_runs
    message = report(vm, 7, refused=refused_runs)
    deliver_report(leader, message, context.now_s)
    leader.tick(context.now_s, WALL_MS)
    leader.commit(leader.collect_batch())


def _list_runs(context: Context, *, best_effort: bool) -> None:
    agent = context.vm_agent
    running = [RunningTask("service", 1, "", 100, 9.0)]
    agent._pacing.traits = {
        "service": TaskTraits("service", "svc", 2_000, 18, False)
    }
    if best_effort:
        running.append(RunningTask("fill", 1, "", 10, 900.0))
        agent._pacing.traits["fill"] = TaskTraits("fill", "f", 1_000, 0, True)
    context.now_s += 1.0
    status = WorkerStatus(
        clock_ms=2_000, born_ms=1, running=tuple(running), ends=()
    )
    request = agent.next_status_request()
    agent.on_status(request, status, context.now_s, context.now_s)


@when("the worker lists a service")
def list_service(context: Context) -> None:
    _list_runs(context, best_effort=False)


@when("the worker lists a service and best-effort work")
def list_both(context: Context) -> None:
    _list_runs(context, best_effort=True)


@then("the next poll waits at most {milliseconds:d} ms")
def poll_waits(context: Context, milliseconds: int) -> None:
    request = context.vm_agent.next_status_request()
    assert request is not None
    assert request.wait_ms == milliseconds, request.wait_ms
