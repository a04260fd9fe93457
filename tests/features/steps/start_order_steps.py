from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from cell_leader_steps import add_job
from cell_leader_steps import report
from cell_leader_steps import WALL_MS

from yuccapoint.cell.cell_leader import CellLeader
from yuccapoint.cell.cell_records import Member
from yuccapoint.cell.lease_bounds import VM_LEASE_S
from yuccapoint.cell.occurrence_state import WorkerInstance
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.cell.vm_agent import VmAgent
from yuccapoint.cell.worker_events import CheckIn
from yuccapoint.cell.worker_events import StartCall
from yuccapoint.cell.worker_events import WorkerStatus
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

VM = "vm-0"
OTHER_VM = "vm-1"
JOB_ID = "e" * 16
TASK_ID = f"{JOB_ID}.0.0.0"
STEP = StepSpec(1, Size(1_000, 2**20, 0))


def _pass_report(context: Context) -> None:
    message = context.vm_agent.build_report(context.now_s)
    context.leader.on_report(message, context.now_s)


def check_in(context: Context, capacity: Size | None = None) -> None:
    """Let the worker check in, with its former capacity if none is given."""
    former = context.vm_agent.check_in
    newer = CheckIn(
        instance=WorkerInstance(VM, "i-0", 1),
        pool="pool",
        address="worker",
        capacity=capacity or former.capacity,
        labels=("a", "r1"),
        draining=False,
        remaining_ms=0,
        clock_ms=int(context.now_s * 1000),
        sequence=former.sequence + 1 if former else 1,
    )
    assert context.vm_agent.on_check_in(newer, context.now_s)


def pass_orders(context: Context, *, may_grant: bool = True) -> None:
    check_in(context)
    due = context.leader.collect_orders(context.now_s, may_grant=may_grant)
    for vm, orders in due:
        if vm.name == VM:
            context.vm_agent.on_orders(orders, context.now_s)
    make_calls(context)


def make_calls(context: Context) -> None:
    for call in context.vm_agent.next_calls(context.now_s):
        if isinstance(call, StartCall):
            context.started.append((call.order.task_id, call.order.run))


def plan(context: Context) -> None:
    context.leader.tick(context.now_s, WALL_MS)
    context.leader.commit(context.leader.collect_batch())


def answer_poll(context: Context) -> None:
    context.vm_agent.next_status_request()
    clock_ms = int(context.now_s * 1000)
    status = WorkerStatus(clock_ms=clock_ms, born_ms=1, running=(), ends=())
    request = context.vm_agent.next_status_request()
    context.vm_agent.on_status(request, status, context.now_s, context.now_s)


def make_leader_and_agent(context: Context) -> None:
    """Connect a leader to the agent of a VM, and grant a lease."""
    context.now_s = 100.0
    context.started = []
    context.leader = CellLeader("e-0", "e-0", 1, 0.0)
    context.leader.on_member(Member(VM, VM, 1))
    context.vm_agent = VmAgent(VM, VM, 1, 0.0)
    check_in(context, Size(8_000, 2**35, 0))
    for _ in range(2):
        pass_orders(context)
        answer_poll(context)
        _pass_report(context)
    pass_orders(context)


def claim_elsewhere(context: Context) -> None:
    """Report another VM, which gets the next run."""
    context.leader.on_member(Member(OTHER_VM, OTHER_VM, 1))
    for sequence in (1, 2):
        context.leader.on_report(report(OTHER_VM, sequence), context.now_s)
        context.leader.collect_orders(context.now_s, may_grant=False)
    plan(context)
    task = context.leader.vms[OTHER_VM].claims[TASK_ID]
    assert task.run == 2, task.run


@given("a leader and an agent whose lease ends soon")
def lease_ends_soon(context: Context) -> None:
    make_leader_and_agent(context)
    assert context.vm_agent.lease.is_valid(context.now_s)
    context.now_s += VM_LEASE_S - 0.1
    answer_poll(context)
    _pass_report(context)


@when("the leader orders a start that it can't grant a lease for")
def order_without_lease(context: Context) -> None:
    add_job(context.leader, JOB_ID, STEP)
    plan(context)
    pass_orders(context, may_grant=False)
    _pass_report(context)
    ledger = context.leader.vms[VM]
    assert ledger.pending == {(TASK_ID, 1)}, ledger.pending
    assert not context.started, context.started


@when("the VM's lease expires and the next run is claimed elsewhere")
def expire_lease(context: Context) -> None:
    context.now_s = context.leader.vms[VM].leased_until_s + 0.1
    plan(context)
    assert not context.leader.vms[VM].claims
    claim_elsewhere(context)


@when("the leader may grant leases again")
def grant_again(context: Context) -> None:
    context.now_s += 0.6
    pass_orders(context)


@when("the agent reports to the leader again")
def report_again(context: Context) -> None:
    answer_poll(context)
    _pass_report(context)
    pass_orders(context)


@then("the worker gets no start of the first run")
def no_start(context: Context) -> None:
    assert (TASK_ID, 1) not in context.started, context.started


@then("the agent has a lease")
def has_lease(context: Context) -> None:
    assert context.vm_agent.lease.is_valid(context.now_s)
