from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import restarted_worker_steps as worker_steps

from yuccapoint.cell.cell_messages import LeaderOrders
from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.cell_messages import StartOrder
from yuccapoint.cell.lease_bounds import VM_LEASE_S
from yuccapoint.cell.occurrence_state import WorkerInstance
from yuccapoint.cell.vm_agent import VmAgent
from yuccapoint.cell.worker_events import CallResult
from yuccapoint.cell.worker_events import CheckIn
from yuccapoint.cell.worker_events import StartCall
from yuccapoint.cell.worker_events import WorkerStatus
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context


def _task_id(name: str) -> str:
    return f"{name * 16}.0.0.0"


def _order_start(context: Context, name: str, result: CallResult) -> None:
    agent = context.vm_agent
    context.order_sequence += 1
    start = StartOrder(_task_id(name), 1, "payload", "")
    orders = LeaderOrders(
        vm=worker_steps.VM,
        term=1,
        leader="e-0",
        address="e-0",
        sequence=context.order_sequence,
        answers=agent.build_report(context.now_s).sequence,
        agent_incarnation=agent.incarnation,
        lease_ms=int(VM_LEASE_S * 1000),
        instance=agent.check_in.instance,
        acked_end_number=0,
        starts=(start,),
        awaited=((start.task_id, 1),),
        stops=(),
        traits=(),
        pairs=(),
    )
    agent.on_orders(orders, context.now_s)
    [call] = worker_steps.calls(context, StartCall)
    agent.on_start_result(call, result, "", context.now_s)


def _list_runs(context: Context, *names: str) -> None:
    running = tuple(RunningTask(_task_id(n), 1, "", 5, 0.0) for n in names)
    worker_steps.answer(context, running=running)


@given('an agent whose worker has listed run "{name}" {seconds:d} s after')
def listed_later(context: Context, name: str, seconds: int) -> None:
    worker_steps.make_agent(context)
    _order_start(context, name, CallResult.DONE)
    context.now_s += seconds
    _list_runs(context, name)


@given('the start of "{name}" was {result} {millis:d} ms ago')
def just_started(
    context: Context, name: str, result: str, millis: int
) -> None:
    kinds = {"answered": CallResult.DONE, "lost": CallResult.UNANSWERED}
    _order_start(context, name, kinds[result])
    context.now_s += millis / 1000


@given('the worker has listed "{names}" at once')
def listed_at_once(context: Context, names: str) -> None:
    _list_runs(context, *names.split())


@given('the worker has held all polls for {millis:d} ms, running "{names}"')
def held_polls(context: Context, millis: int, names: str) -> None:
    agent = context.vm_agent
    running = tuple(
        RunningTask(_task_id(n), 1, "", 5, 0.0) for n in names.split()
    )
    until_s = context.now_s + millis / 1000
    while True:
        request = agent.next_status_request()
        # An acknowledgement is answered at once.
        answered_at_s = context.now_s + max(0.001, request.wait_ms / 1000)
        if answered_at_s > until_s:
            break
        status = WorkerStatus(
            clock_ms=int(1000 * answered_at_s),
            born_ms=context.born_ms,
            running=running,
            ends=(),
        )
        agent.on_status(request, status, context.now_s, answered_at_s)
        context.now_s = answered_at_s
    context.now_s = until_s


@given("the worker has announced that it {how}")
def announced(context: Context, how: str) -> None:
    agent = context.vm_agent
    if how == "leaves":
        agent.on_leave(agent.check_in.instance.worker_id, context.now_s)
        return
    _check_in(context, worker_steps.WORKER_ID, draining=True)


@given("the agent has restarted and heard of the worker")
def agent_restarted(context: Context) -> None:
    context.vm_agent = VmAgent(
        worker_steps.VM, worker_steps.VM, 2, context.now_s
    )
    worker_steps.check_in(context)


def _check_in(
    context: Context,
    worker_id: str,
    *,
    draining: bool,
    clock_ms: int | None = None,
) -> None:
    if clock_ms is None:
        clock_ms = int(1000 * context.now_s)
    context.sequence += 1
    context.vm_agent.on_check_in(
        CheckIn(
            instance=WorkerInstance(
                worker_steps.VM, worker_id, context.born_ms
            ),
            pool="pool",
            address="worker",
            capacity=Size(8_000, 2**35, 0),
            labels=(),
            draining=draining,
            remaining_ms=0,
            clock_ms=clock_ms,
            sequence=context.sequence,
        ),
        context.now_s,
    )


@when("its next instance begins {millis:d} ms later and checks in")
def next_instance_begins(context: Context, millis: int) -> None:
    age_ms = 150
    context.now_s += (millis + age_ms) / 1000
    context.born_ms += 1
    context.sequence = 0
    _check_in(context, worker_steps.WORKER_ID, draining=False, clock_ms=age_ms)


@when("the worker is back after {seconds:d} s under {which} id")
def worker_back(context: Context, seconds: int, which: str) -> None:
    context.now_s += seconds
    context.born_ms += 1
    context.sequence = 0
    ids = {"its": worker_steps.WORKER_ID, "another": "i-later"}
    _check_in(context, ids[which], draining=False)


def _crashes(context: Context) -> list[dict[str, bool]]:
    agent = context.vm_agent
    message = agent.crash_log.build_report(agent.incarnation, context.now_s)
    crashes = () if message is None else message.crashes
    return [
        {suspect.task_id[0]: suspect.started for suspect in suspects}
        for suspects in crashes
    ]


@then('the agent suspects "{name}" of the crash, {known} to have started')
def suspected(context: Context, name: str, known: str) -> None:
    found = _crashes(context)
    assert found == [{name: known == "known"}], found


def _doubtful(context: Context, name: str) -> bool:
    agent = context.vm_agent
    message = agent.crash_log.build_report(agent.incarnation, context.now_s)
    assert message is not None
    [suspects] = message.crashes
    [doubtful] = [s.doubtful for s in suspects if s.task_id[0] == name]
    return doubtful


@then('the agent doubts that "{name}" crashed the worker')
def crash_doubtful(context: Context, name: str) -> None:
    assert _doubtful(context, name)


@then('the agent does not doubt that "{name}" crashed the worker')
def crash_not_doubtful(context: Context, name: str) -> None:
    assert not _doubtful(context, name)


@then("the agent suspects no run of a crash")
def none_suspected(context: Context) -> None:
    assert not _crashes(context), _crashes(context)


@then("the crash is reported for {seconds:d} s, also to another leader")
def reported_for(context: Context, seconds: int) -> None:
    first = _crashes(context)
    context.now_s += seconds - 0.1
    assert _crashes(context) == first
    context.now_s += 0.2
    assert not _crashes(context)
