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
from yuccapoint.cell.crash_messages import CrashReport
from yuccapoint.cell.occurrence_state import Phase
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.cell.tracked_run import SUSPECT_RUN_S
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

    from yuccapoint.cell.task_run import TaskRun
    from yuccapoint.cell.vm_ledger import VmLedger

ROUND_S = 0.05
PLAIN_RUN_S = 0.4
ONE = Size(500, 2**20, 0)
SUSPECT_JOB = "c" * 16
SOUND_JOB = "d" * 16
OTHER_JOB = "b" * 16
UNCLAIMED = f"{SOUND_JOB}.0.0.1"


@given(
    "{vms:d} VMs and {hopeless:d} hopeless jobs that fail after"
    " {millis:d} ms, and a sound one on each VM"
)
def hopeless_jobs(
    context: Context, vms: int, hopeless: int, millis: int
) -> None:
    context.leader = make_leader(vms)
    context.now_s = 10.0
    context.fails_after_s = millis / 1000
    context.restless = set()
    context.submit_each_s = 0.0
    context.submitted = 0
    context.started_at_s = {}
    context.longest_wait_s = 0.0
    context.shared_starts = []
    context.suspects = []
    context.others = []
    context.longest_other_wait_s = 0.0
    for number in range(hopeless):
        step = StepSpec(1, ONE, long_running=True)
        add_job(context.leader, f"{number:016x}", step)
    # On probation a VM that runs anything gets no other run.
    step = StepSpec(vms, ONE, long_running=True, max_per_vm=1)
    add_job(context.leader, SOUND_JOB, step)


@given("a job whose only run fails is submitted each {millis:d} ms")
def failing_jobs(context: Context, millis: int) -> None:
    context.submit_each_s = millis / 1000


@given('"{vm}" has a run without a claim that doesn\'t end')
def run_without_claim(context: Context, vm: str) -> None:
    context.restless.add(vm)


@when("a {kind} job of {tasks:d} tasks may have crashed a worker")
def may_have_crashed(context: Context, kind: str, tasks: int) -> None:
    step = StepSpec(tasks, ONE, long_running=kind == "long-running")
    add_job(context.leader, SUSPECT_JOB, step)
    context.suspects = context.leader.jobs[SUSPECT_JOB].occurrences[0].tasks
    for task in context.suspects:
        task.run = 1
        task.crashes.note_crash(1, started=True)
        task.waiting_since_s = context.now_s


@when("a {kind} job of {tasks:d} tasks may have crashed two workers")
def may_have_crashed_two(context: Context, kind: str, tasks: int) -> None:
    may_have_crashed(context, kind, tasks)
    for task in context.suspects:
        task.run = 2
        task.crashes.note_crash(2, started=True)


@when("a long-running job of {tasks:d} tasks has lost its worker")
def lost_its_worker(context: Context, tasks: int) -> None:
    add_job(context.leader, OTHER_JOB, StepSpec(tasks, ONE, long_running=True))
    context.others = context.leader.jobs[OTHER_JOB].occurrences[0].tasks
    for task in context.others:
        task.run = 1
        task.waiting_since_s = context.now_s


def _end_of(context: Context, task: TaskRun) -> str:
    """Return how a run has ended by now; empty if it works."""
    run_s = context.now_s - context.started_at_s[task.task_id, task.run]
    if task.task_id.startswith((SOUND_JOB, OTHER_JOB)):
        return ""
    if task not in context.suspects:
        return "failed" if run_s >= context.fails_after_s else ""
    if task.step.spec.long_running or run_s < PLAIN_RUN_S:
        return ""
    return "done"


def _report(context: Context, vm: VmLedger) -> None:
    running = []
    ends = []
    proven = []
    number = vm.applied_end_number
    if vm.name in context.restless:
        running.append(RunningTask(UNCLAIMED, 99, "", 50, 0.0))
    for task in vm.claims.values():
        how = _end_of(context, task)
        if how:
            number += 1
            ends.append(EndedRun(number, task.task_id, task.run, how, ""))
            continue
        running.append(RunningTask(task.task_id, task.run, "", 50, 0.0))
        started_at_s = context.started_at_s[task.task_id, task.run]
        if context.now_s - started_at_s >= SUSPECT_RUN_S:
            proven.append((task.task_id, task.run))
    message = report(
        vm.name,
        vm.report_sequence + 1,
        running=tuple(running),
        ends=tuple(ends),
    )
    deliver_report(context.leader, message, context.now_s)
    crashes = CrashReport(
        vm=vm.name, incarnation=1, crashes=(), proven=tuple(proven)
    )
    context.leader.crash_counter.apply(crashes, context.now_s)


def _note_starts(context: Context) -> None:
    """Note the new claims, and young runs of suspects that aren't alone."""
    for vm in context.leader.vms.values():
        young = []
        for task in vm.claims.values():
            key = (task.task_id, task.run)
            context.started_at_s.setdefault(key, context.now_s)
            if context.now_s - context.started_at_s[key] < SUSPECT_RUN_S:
                young.append(task)
        if len(young) > 1 and any(task.is_suspect for task in young):
            context.shared_starts.append([task.task_id for task in young])


def _submit_failing(context: Context) -> None:
    if not context.submit_each_s:
        return
    while context.submitted * context.submit_each_s < context.now_s - 10.0:
        context.submitted += 1
        add_job(
            context.leader,
            f"a{context.submitted:015x}",
            StepSpec(1, ONE, 100),
            max_attempts=1,
            objective_ms=60_000,
        )


@when("{seconds:d} s pass with them")
def pass_time(context: Context, seconds: int) -> None:
    leader = context.leader
    for _ in range(int(seconds / ROUND_S)):
        context.now_s += ROUND_S
        _submit_failing(context)
        for vm in leader.vms.values():
            _report(context, vm)
        leader.tick(context.now_s, WALL_MS)
        leader.commit(leader.collect_batch())
        _note_starts(context)
        context.longest_wait_s = max(
            context.longest_wait_s, _longest_wait_s(context, context.suspects)
        )
        context.longest_other_wait_s = max(
            context.longest_other_wait_s,
            _longest_wait_s(context, context.others),
        )


def _longest_wait_s(context: Context, tasks: list[TaskRun]) -> float:
    """Return for how long the tasks that wait now have waited at most."""
    return max(
        (
            context.now_s - task.waiting_since_s
            for task in tasks
            if task.phase is Phase.WAITING
        ),
        default=0.0,
    )


@then("no suspect has waited for over {seconds:d} s")
def bounded_wait(context: Context, seconds: int) -> None:
    waiting = [
        task.task_id
        for task in context.suspects
        if task.phase is Phase.WAITING
    ]
    longest_s = round(context.longest_wait_s, 2)
    assert longest_s <= seconds, (longest_s, waiting)
    assert not waiting, waiting


@then("each suspect has started alone")
def started_alone(context: Context) -> None:
    assert not context.shared_starts, context.shared_starts


@then("at most {count:d} suspects have started together")
def started_together(context: Context, count: int) -> None:
    most = max(map(len, context.shared_starts), default=1)
    assert most <= count, context.shared_starts
    for tasks in context.shared_starts:
        assert all(task.startswith(SUSPECT_JOB) for task in tasks), tasks


@then("no other task has waited for over {seconds:d} s")
def bounded_other_wait(context: Context, seconds: int) -> None:
    longest_s = round(context.longest_other_wait_s, 2)
    assert longest_s <= seconds, longest_s
    phases = [task.phase for task in context.others]
    assert Phase.WAITING not in phases, phases
