from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from cell_leader_steps import add_job
from cell_leader_steps import deliver_report
from cell_leader_steps import make_leader
from cell_leader_steps import report
from cell_leader_steps import WALL_MS

from yuccapoint.cell.cell_messages import EndedRun
from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.lease_bounds import granted_until_s
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

JOB_ID = "0" * 16
TASK_ID = f"{JOB_ID}.0.0.0"


def _ordered_starts(context: Context) -> list[tuple[str, int]]:
    return [
        (start.task_id, start.run)
        for _, orders in context.leader.collect_orders(
            context.now_s, may_grant=True
        )
        for start in orders.starts
    ]


@given("a task whose run on a lost VM was abandoned, and that is claimed anew")
def claim_anew(context: Context) -> None:
    leader = context.leader = make_leader(2)
    add_job(leader, JOB_ID, StepSpec(1, Size(1_000, 2**20, 0)))
    context.now_s = 10.1
    leader.tick(context.now_s, WALL_MS)
    leader.commit(leader.collect_batch())
    assert _ordered_starts(context) == [(TASK_ID, 1)]
    task = leader.find_task(TASK_ID)
    context.lost_vm = task.instance.vm
    running = (RunningTask(TASK_ID, 1, "", 10, 0.0),)
    deliver_report(
        leader, report(context.lost_vm, 2, running=running), context.now_s
    )
    other = next(vm for vm in leader.vms if vm != context.lost_vm)
    context.now_s = granted_until_s(context.now_s) + 0.1
    deliver_report(leader, report(other, 2), context.now_s)
    leader.tick(context.now_s, WALL_MS)
    assert (task.run, task.instance.vm) == (2, other)
    context.batch = leader.collect_batch()


@when("the lost VM reports the run as {how} {time} its new start is ordered")
def report_end(context: Context, how: str, time: str) -> None:
    context.starts = []
    if time == "after":
        context.leader.commit(context.batch)
        context.starts += _ordered_starts(context)
    ends = (EndedRun(1, TASK_ID, 1, how, ""),)
    context.leader.on_report(
        report(context.lost_vm, 3, ends=ends), context.now_s
    )
    if time == "before":
        context.leader.commit(context.batch)
    context.starts += _ordered_starts(context)


@then("the task is {phase} and its new start is {start}")
def check_task(context: Context, phase: str, start: str) -> None:
    task = context.leader.find_task(TASK_ID)
    assert task.phase.name.lower() == phase, task.phase
    assert ((TASK_ID, 2) in context.starts) == (start == "ordered")
    claimed = [
        vm.name for vm in context.leader.vms.values() if TASK_ID in vm.claims
    ]
    assert bool(claimed) == (phase == "claimed"), claimed
