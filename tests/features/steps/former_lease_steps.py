from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from cell_leader_steps import deliver_report
from cell_leader_steps import report
from cell_leader_steps import WALL_MS
from restarted_worker_steps import deliver
from restarted_worker_steps import VM
from restarted_worker_steps import WORKER_ID

from cell_world.world import World
from yuccapoint.cell.occurrence_state import Phase
from yuccapoint.cell.occurrence_state import WorkerInstance
from yuccapoint.cell.vm_agent import VmAgent
from yuccapoint.cell.worker_events import CheckIn
from yuccapoint.cell.worker_events import WorkerStatus
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context


def _check_in(context: Context) -> None:
    context.sequence += 1
    instance = WorkerInstance(VM, context.worker_id, context.born_ms)
    context.vm_agent.on_check_in(
        CheckIn(
            instance=instance,
            pool="pool",
            address="worker",
            capacity=Size(8_000, 2**35, 0),
            labels=(),
            draining=False,
            remaining_ms=0,
            clock_ms=_clock_ms(context),
            sequence=context.sequence,
        ),
        context.now_s,
    )


def _clock_ms(context: Context) -> int:
    return int(1000 * (context.now_s - context.started_at_s))


def _answer(context: Context) -> None:
    request = context.vm_agent.next_status_request()
    status = WorkerStatus(
        clock_ms=_clock_ms(context),
        born_ms=context.born_ms,
        running=(),
        ends=(),
    )
    context.vm_agent.on_status(request, status, context.now_s, context.now_s)


def _make_agent(context: Context, age_s: int, hold_s: int) -> None:
    context.now_s = 1000.0
    context.started_at_s = context.now_s - age_s
    context.born_ms = 1
    context.worker_id = WORKER_ID
    context.sequence = 0
    context.order_sequence = 0
    context.vm_agent = VmAgent(VM, VM, 1, context.now_s, hold_s)


@given(
    "an agent that starts beside a worker of {age_s:d} s with leases of at"
    " most {hold_s:d} s"
)
def make_young_agent(context: Context, age_s: int, hold_s: int) -> None:
    _make_agent(context, age_s, hold_s)
    _check_in(context)
    deliver(context)
    _answer(context)


@given("an agent whose worker has leases of at most {hold_s:d} s")
def make_agent(context: Context, hold_s: int) -> None:
    _make_agent(context, 600, hold_s)
    # Past the time in which calls of a former agent may be executed.
    context.now_s += 60.0
    _check_in(context)
    deliver(context)
    _answer(context)
    assert not _former_hold_ms(context)
    # It is renewed once the leader has answered a report.
    deliver(context)
    request = context.vm_agent.next_status_request()
    assert request.lease_until_clock_ms is not None
    context.vm_agent.on_status_failed(request, context.now_s)


def _restart(context: Context, after_s: float, worker_id: str) -> None:
    context.now_s += after_s
    context.worker_id = worker_id
    context.born_ms += 1
    context.started_at_s = context.now_s
    context.now_s += 0.1
    _check_in(context)


@when("the worker is back under its id after {after_s:f} s")
def restart(context: Context, after_s: float) -> None:
    _restart(context, after_s, WORKER_ID)


@when("the worker is back under another id after {after_s:f} s")
def restart_other(context: Context, after_s: float) -> None:
    _restart(context, after_s, "i-other")


@when("it answers a poll of its own {after_s:f} s later")
def answer_later(context: Context, after_s: float) -> None:
    context.now_s += after_s
    _answer(context)


@when("{seconds:f} s later all polls have failed")
def polls_failed(context: Context, seconds: float) -> None:
    context.now_s += seconds
    for _ in range(2):
        request = context.vm_agent.next_status_request()
        context.vm_agent.on_status_failed(request, context.now_s)


def _former_hold_ms(context: Context) -> int:
    return context.vm_agent.build_report(context.now_s).former_hold_ms


@then("the agent reports that runs may go on for {hold_ms:d} ms")
def reported_hold(context: Context, hold_ms: int) -> None:
    reported_ms = _former_hold_ms(context)
    assert abs(reported_ms - hold_ms) <= 1, reported_ms


@then("the worker's lease counts as {text}")
def expiry(context: Context, text: str) -> None:
    message = context.vm_agent.build_report(context.now_s)
    expired = message.worker.lease_expired
    assert expired == (text == "expired"), message


@when('"{vm}" reports that runs may go on for {hold_ms:d} ms, and is lost')
def report_hold(context: Context, vm: str, hold_ms: int) -> None:
    context.lost = list(context.leader.vms[vm].claims.values())
    assert context.lost
    message = report(vm, 41, former_hold_ms=hold_ms)
    deliver_report(context.leader, message, context.now_s)
    context.lost_at_s = context.now_s


@then("its tasks are claimed elsewhere {least_s:f} to {most_s:f} s later")
def claimed_elsewhere(context: Context, least_s: float, most_s: float) -> None:
    while all(task.run == 1 for task in context.lost):
        context.now_s += 0.1
        assert context.now_s < context.lost_at_s + most_s
        for vm in context.leader.vms:
            if vm != context.lost[0].instance.vm:
                sequence = int(10 * context.now_s)
                message = report(vm, sequence)
                deliver_report(context.leader, message, context.now_s)
        context.leader.tick(context.now_s, WALL_MS)
        context.leader.commit(context.leader.collect_batch())
    assert context.now_s > context.lost_at_s + least_s, context.now_s
    assert all(task.phase is Phase.CLAIMED for task in context.lost)


@given(
    "a cell of {vms:d} VMs that gets only tasks that last, with leases of at"
    " most {hold_s:d} s, for seeds {seeds}"
)
def make_worlds(context: Context, vms: int, hold_s: int, seeds: str) -> None:
    first, _, last = seeds.partition("-")
    context.worlds = [
        (seed, World(seed, vms, lasting_only=True, max_hold_ms=1000 * hold_s))
        for seed in range(int(first), int(last or first) + 1)
    ]
