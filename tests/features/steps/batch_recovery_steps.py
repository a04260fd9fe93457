from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from yuccapoint.bench.fault_matrix import run_fault_pair
from yuccapoint.bench.recovery_times import loaded_simulation

if TYPE_CHECKING:
    from behave.runner import Context

    from yuccapoint.bench.cell_vm import CellVm


@when('faults "{first}" and "{second}" hit a batch cell with seed {seed:d}')
def inject_faults(
    context: Context, first: str, second: str, seed: int
) -> None:
    context.violations = run_fault_pair("caribfert", seed, (first, second))


@then("the batch cell violated no guarantee")
def no_guarantee_violated(context: Context) -> None:
    assert not context.violations.violation_count, context.violations


@given("a batch cell with {tasks:d} tasks")
def given_cell(context: Context, tasks: int) -> None:
    context.cell = loaded_simulation("caribfert", 5, tasks, 100_000.0)


def leader_of(context: Context, vm: CellVm) -> object:
    for entry in context.cell.entries:
        if entry.entry_id == vm.task_manager.leader:
            return entry
    raise AssertionError("the VM has no leader")


@when("an entry of the batch cell stops while one of its VMs crashes")
def stop_and_crash(context: Context) -> None:
    cell = context.cell
    vm = max(cell.vms, key=lambda found: len(found.worker.tasks))
    context.affected_jobs = list(vm.worker.tasks)
    context.fault_at_s = cell.now_s
    vm.crash()
    leader_of(context, vm).stop()  # type: ignore[attr-defined]


@then("every task of that VM is restarted within {limit_s:d} s")
def restarted(context: Context, limit_s: int) -> None:
    cell = context.cell
    cell.run(context.fault_at_s + limit_s)
    assert context.affected_jobs
    for job_id in context.affected_jobs:
        starts = cell.oracle.starts[job_id]
        assert starts[-1] > context.fault_at_s, job_id


@when("the log goes down and a leading entry pauses for {pause_s:d} s")
def log_down_and_pause(context: Context, pause_s: int) -> None:
    cell = context.cell
    cell.log_down = True
    cell.run(cell.now_s + 4.0)
    entry = leader_of(context, cell.vms[0])
    entry.paused = True  # type: ignore[attr-defined]
    cell.run(cell.now_s + pause_s)
    entry.resume()  # type: ignore[attr-defined]
    cell.run(cell.now_s + 10.0)


@when("the log goes down for {outage_s:d} s")
def log_down(context: Context, outage_s: int) -> None:
    context.cell.log_down = True
    context.cell.run(context.cell.now_s + outage_s)
    context.cell.log_down = False
    context.cell.run(context.cell.now_s + 10.0)


@then("no task of the batch cell lapsed")
def no_task_lapsed(context: Context) -> None:
    lapsed = sum(vm.lapsed_tasks for vm in context.cell.vms)
    assert not lapsed, lapsed


@when("a VM of the batch cell is replaced while its entry is cut off")
def replace_vm(context: Context) -> None:
    cell = context.cell
    vm = max(cell.vms, key=lambda found: len(found.worker.tasks))
    leader_of(context, vm).cut_off = True  # type: ignore[attr-defined]
    vm.crash()
    cell.schedule(2.0, vm.start)
    cell.run(cell.now_s + 30.0)


@then("no attempt of the batch cell was started twice")
def no_attempt_twice(context: Context) -> None:
    assert not context.cell.oracle.resumed_twice
