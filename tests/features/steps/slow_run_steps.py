from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import mock

from behave import given
from behave import then
from behave import when
from cell_leader_steps import add_job
from cell_leader_steps import make_leader
from cell_leader_steps import report
from cell_leader_steps import WALL_MS

from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.cell.throttled_moves import find_throttled_moves
from yuccapoint.cell.vm_candidate import VmCandidate
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

    from yuccapoint.cell.task_run import TaskRun

MILLICORES = 1_000
# A VM of the leader's steps has 32 GiB.
RUNS_PER_VM = 8
GIB_PER_VM = 32
REPORTS = 15
REPORT_INTERVAL_S = 0.2


@given("a leader with {vms:d} VMs, {full:d} of them full of other work")
def full_vms(context: Context, vms: int, full: int) -> None:
    context.leader = make_leader(vms)
    context.now_s = 10.0
    size = Size(MILLICORES, GIB_PER_VM * 2**30, 0)
    step = StepSpec(full, size, 10_000)
    add_job(context.leader, "f" * 16, step)
    _claim_all(context)
    context.other_vms = vms - full
    context.tried_kinds = set()


@given("slow best-effort runs of {jobs:d} jobs of {kinds:d} sizes on the rest")
def slow_runs(context: Context, jobs: int, kinds: int) -> None:
    leader = context.leader
    runs = context.other_vms * RUNS_PER_VM
    memory_bytes = GIB_PER_VM * 2**30 // RUNS_PER_VM
    for number in range(jobs):
        size = Size(MILLICORES, memory_bytes - number % kinds, 0)
        step = StepSpec(
            runs // jobs, size, 10_000, best_effort=True, saves_progress=True
        )
        add_job(leader, f"{number:016x}", step)
    _claim_all(context)
    counts = [len(vm.claims) for vm in leader.vms.values()]
    assert counts.count(RUNS_PER_VM) == context.other_vms, counts
    _report_all(context, used_millicores=100)


@given("a further VM that only the run with the least time left fits")
def vm_for_last(context: Context) -> None:
    leader = context.leader
    tasks = [
        task
        for vm in leader.vms.values()
        for task in vm.claims.values()
        if task.step.spec.best_effort
    ]
    smallest = min(tasks, key=lambda task: task.step.spec.size.memory_bytes)
    smallest.percent = 1 + max(task.percent for task in tasks)
    size = Size(8_000, smallest.step.spec.size.memory_bytes, 0)
    leader.on_report(
        report(f"vm-{len(leader.vms)}", 1, capacity=size), context.now_s
    )
    leader.collect_orders(context.now_s, may_grant=True)


@given("a further VM with room for {runs:d} of them")
def vm_with_room(context: Context, runs: int) -> None:
    leader = context.leader
    name = f"vm-{len(leader.vms)}"
    size = Size(8_000, GIB_PER_VM * 2**30 * runs // RUNS_PER_VM, 0)
    leader.on_report(report(name, 1, capacity=size), context.now_s)
    leader.collect_orders(context.now_s, may_grant=True)


def _claim_all(context: Context) -> None:
    leader = context.leader
    while True:
        context.now_s += 0.01
        leader.tick(context.now_s, WALL_MS)
        batch = leader.collect_batch()
        leader.commit(batch)
        leader.collect_orders(context.now_s, may_grant=True)
        if not batch.claims:
            return


def _report_all(context: Context, *, used_millicores: int) -> None:
    leader = context.leader
    for _ in range(REPORTS):
        context.now_s += REPORT_INTERVAL_S
        for vm in leader.vms.values():
            running = tuple(
                RunningTask(task.task_id, task.run, "", 1, used_millicores)
                for task in vm.claims.values()
            )
            message = report(
                vm.name,
                vm.report_sequence + 1,
                running=running,
                heard_orders=vm.order_sequence,
            )
            leader.on_report(message, context.now_s)
        leader.collect_orders(context.now_s, may_grant=True)


@when("the leader looks for runs to move")
def look_for_moves(context: Context) -> None:
    leader = context.leader
    with mock.patch.object(
        VmCandidate,
        "find_misfit",
        autospec=True,
        side_effect=VmCandidate.find_misfit,
    ) as find_misfit:
        context.moves = find_throttled_moves(
            leader.vms.values(),
            leader.interference,
            context.now_s,
            context.tried_kinds,
        )
    context.fit_checks = find_misfit.call_count


@when("the leader looks for runs to move {checks:d} times")
def look_repeatedly(context: Context, checks: int) -> None:
    moves: list[TaskRun] = []
    for _ in range(checks):
        look_for_moves(context)
        moves.extend(context.moves)
    context.moves = moves


@then("it moves {count:d} runs, each from another VM")
def moved_runs(context: Context, count: int) -> None:
    moves: list[TaskRun] = context.moves
    assert len({task.left_vm for task in moves}) == len(moves) == count, [
        task.task_id for task in moves
    ]


@then("it has checked no more than {limit:d} times whether a run fits a VM")
def bounded_fit_checks(context: Context, limit: int) -> None:
    assert context.fit_checks <= limit, context.fit_checks
