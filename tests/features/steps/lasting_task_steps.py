from __future__ import annotations

import time
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from cell_leader_steps import add_job
from cell_leader_steps import deliver_report
from cell_leader_steps import report
from cell_leader_steps import WALL_MS
import msgspec

from yuccapoint.cell.cell_messages import EndedRun
from yuccapoint.cell.cell_messages import REASON_NO_ROOM
from yuccapoint.cell.cell_messages import RefusedRun
from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

    from yuccapoint.cell.task_run import TaskRun

ONE = Size(1_000, 2**20, 0)
STEP_S = 0.25
WAIT_TEXT = "still waits; left out VMs by reason"


def _job_id(name: str) -> str:
    return name.ljust(16, "0")


def _fails(context: Context, task: TaskRun, vm: str) -> bool:
    """Return whether a run that is reported now has failed."""
    if vm in getattr(context, "failing_vms", ()):
        return True
    if task.task_id in getattr(context, "to_fail", ()):
        context.to_fail.remove(task.task_id)
        return True
    return task.task_id in getattr(context, "hopeless", ())


def _report(context: Context, vm: str) -> None:
    """Report what runs on a VM, and let the leader answer."""
    ledger = context.leader.vms[vm]
    running = []
    ends = []
    refused = []
    number = ledger.applied_end_number
    for task in ledger.claims.values():
        if vm in getattr(context, "refusing_once", ()):
            context.refusing_once.remove(vm)
            context.have_refused.add(vm)
            refused.append(RefusedRun(task.task_id, task.run, REASON_NO_ROOM))
            continue
        if _fails(context, task, vm):
            number += 1
            ends.append(EndedRun(number, task.task_id, task.run, "failed", ""))
            continue
        running.append(RunningTask(task.task_id, task.run, "", 50, 0.0))
        if not task.is_suspect or not task.seen_running:
            continue
        if context.now_s - task.started_at_s >= context.proven_after_s:
            task.crashes.note_proven(task.run)
    message = report(
        vm,
        ledger.report_sequence + 1,
        running=tuple(running),
        ends=tuple(ends),
        refused=tuple(refused),
    )
    if vm in getattr(context, "draining", ()):
        worker = msgspec.structs.replace(message.worker, draining=True)
        message = msgspec.structs.replace(message, worker=worker)
    deliver_report(context.leader, message, context.now_s)


def _round(context: Context) -> None:
    """Advance the time, with reports of all VMs and a scheduling round."""
    context.now_s += STEP_S
    for vm in context.leader.vms:
        _report(context, vm)
    query = context.leader.adviser_queries.next_query(context.now_s, WALL_MS)
    if query is not None:
        step, instances = query
        tickets = {instance.worker_id: "ticket" for instance in instances}
        context.leader.adviser_queries.on_advice(
            step, instances, tickets, context.now_s
        )
    context.leader.tick(context.now_s, WALL_MS)
    context.leader.commit(context.leader.collect_batch())
    context.leader.collect_orders(context.now_s, may_grant=True)
    for task_id in getattr(context, "sound", ()):
        if _run_of(context, task_id) is not None:
            context.ran_at_s[task_id] = context.now_s
            continue
        idle_s = context.now_s - context.ran_at_s[task_id]
        context.longest_idle_s = max(context.longest_idle_s, idle_s)


def _run_of(context: Context, task_id: str) -> str | None:
    """Return the VM on which a task is claimed."""
    task = context.leader.find_task(task_id)
    return None if task.instance is None else task.instance.vm


def _pass(context: Context, seconds: float) -> None:
    for _ in range(int(seconds / STEP_S)):
        _round(context)


@given('"{vm}" is in quarantine for {seconds:d} s')
def in_quarantine(context: Context, vm: str, seconds: int) -> None:
    ledger = context.leader.vms[vm]
    ledger.quarantined_until_s = context.now_s + seconds


@given('"{vm}" is full of long-running work')
def full_of_work(context: Context, vm: str) -> None:
    step = StepSpec(1, Size(8_000, 2**20, 0), long_running=True)
    job = add_job(context.leader, _job_id("fu"), step)
    task = context.leader.jobs[job.job_id].occurrences[0].tasks[0]
    ledger = context.leader.vms[vm]
    task.claim(ledger.instance, 1)
    ledger.claims[task.task_id] = task


@given('"{vm}" has drained')
def has_drained(context: Context, vm: str) -> None:
    context.draining = {vm}


@when("a long-running job of {tasks:d} tasks waits for {seconds:d} s")
def long_running_job_waits(context: Context, tasks: int, seconds: int) -> None:
    step = StepSpec(tasks, ONE, long_running=True)
    add_job(context.leader, _job_id("aa"), step)
    _pass(context, seconds)


def _wait_lines(context: Context) -> list[dict]:
    return [
        line.fields
        for line in context.leader.explanations
        if line.text == WAIT_TEXT
    ]


@then(
    "one log line tells that it waits {low:d} to {high:d} ms"
    " with these reasons"
)
def one_line(context: Context, low: int, high: int) -> None:
    lines = _wait_lines(context)
    assert len(lines) == 1, lines
    assert lines[0]["task"].startswith(_job_id("aa")), lines
    assert low <= lines[0]["waited_ms"] <= high, lines
    for row in context.table:
        assert lines[0].get(row["reason"]) == int(row["vms"]), lines


@then(
    "at most {limit:d} log lines tell that tasks wait,"
    " no task's more often than each {seconds:d} s"
)
def bounded_lines(context: Context, limit: int, seconds: int) -> None:
    lines = _wait_lines(context)
    assert 4 < len(lines) <= limit, len(lines)
    last: dict[str, int] = {}
    for line in lines:
        before = last.get(line["task"], -10_000_000)
        assert line["waited_ms"] - before >= 1000 * seconds, line
        last[line["task"]] = line["waited_ms"]


@given("{jobs:d} jobs that last, of which {hopeless:d} are hopeless")
def lasting_jobs(
    context: Context, jobs: int, hopeless: int, **rules: int
) -> None:
    context.hopeless = set()
    context.sound = []
    for number in range(jobs):
        step = StepSpec(1, ONE, long_running=True)
        job_id = _job_id(f"b{number:02x}")
        job = add_job(context.leader, job_id, step, **rules)
        task_id = f"{job.job_id}.0.0.0"
        if number < hopeless:
            context.hopeless.add(task_id)
        else:
            context.sound.append(task_id)
    for task in context.leader.jobs.values():
        for waiting in task.occurrences[0].tasks:
            waiting.waiting_since_s = context.now_s
    context.ran_at_s = dict.fromkeys(context.sound, context.now_s)
    context.longest_idle_s = 0.0
    context.to_fail = set()


@given('"{vm}" refuses its first start for lack of room')
def refuses_first_start(context: Context, vm: str) -> None:
    context.refusing_once = {vm}
    context.have_refused = set()


@then('"{vm}" has refused a start')
def has_refused(context: Context, vm: str) -> None:
    assert vm in context.have_refused, context.have_refused


@given('"{vm}" fails all that it starts')
def failing_vm(context: Context, vm: str) -> None:
    context.failing_vms = {vm}


@when("{seconds:d} s pass in rounds")
def rounds_pass(context: Context, seconds: int) -> None:
    _pass(context, seconds)


@when("each sound job's run fails once, one each {gap_s:g} s")
def each_fails_once(context: Context, gap_s: float) -> None:
    for task_id in context.sound:
        context.to_fail.add(task_id)
        _pass(context, gap_s)


@when('"{vm}" has room again')
def room_again(context: Context, vm: str) -> None:
    context.leader.on_cancel(_job_id("fu"), context.now_s)
    context.leader.vms[vm].claims.clear()


@when('a run of another job fails on "{vm}"')
def other_run_fails(context: Context, vm: str) -> None:
    context.leader.vms[vm].record_failure(_job_id("x"), context.now_s)


@then("each sound job that failed ran again within {seconds:d} s")
def ran_again(context: Context, seconds: int) -> None:
    assert context.longest_idle_s < seconds, context.longest_idle_s


@then("all sound jobs run")
def all_run(context: Context) -> None:
    idle = [t for t in context.sound if _run_of(context, t) is None]
    assert not idle, idle


@then("no sound job runs")
def none_runs(context: Context) -> None:
    vms = [_run_of(context, t) for t in context.sound]
    assert vms == [None] * len(vms), vms


@then('no sound job runs on "{vm}"')
def none_runs_on(context: Context, vm: str) -> None:
    assert vm not in [_run_of(context, t) for t in context.sound]


@then('"{vm}" got at most one start each {seconds:d} s')
def bounded_starts(context: Context, vm: str, seconds: int) -> None:
    starts = [
        line
        for line in context.leader.explanations
        if line.text == "claimed" and line.fields["vm"] == vm
    ]
    passed_s = context.now_s - 10.0
    assert len(starts) <= passed_s / seconds, (len(starts), passed_s)


def _fail_once_more(context: Context, vm: str) -> bool:
    ledger = context.leader.vms[vm]
    return ledger.record_failure(_job_id("z"), context.now_s)


@then('one more failure starts no quarantine of "{vm}"')
def no_quarantine(context: Context, vm: str) -> None:
    assert not _fail_once_more(context, vm)


@then('one more failure starts a quarantine of "{vm}"')
def quarantine(context: Context, vm: str) -> None:
    assert _fail_once_more(context, vm)


@then("{low:d} to {high:d} starts were claimed")
def claimed_starts(context: Context, low: int, high: int) -> None:
    starts = [
        line for line in context.leader.explanations if line.text == "claimed"
    ]
    assert low <= len(starts) <= high, len(starts)


@given(
    "all sound jobs are suspected of a crash until they have run for"
    " {seconds:d} s"
)
def suspects(context: Context, seconds: int) -> None:
    context.proven_after_s = seconds
    for task_id in context.sound:
        task = context.leader.find_task(task_id)
        task.run = 1
        task.crashes.note_crash(1, started=True)


@given("a job that lasts in an advised queue whose adviser allows all workers")
def advised_lasting_job(context: Context) -> None:
    lasting_jobs(context, 1, 0, advice_valid_ms=10_000)


@given("{count:d} of its VMs are in quarantine")
def some_in_quarantine(context: Context, count: int) -> None:
    for ledger in list(context.leader.vms.values())[:count]:
        ledger.quarantined_until_s = context.now_s + 60


@given("a long-running job of {tasks:d} tasks that have failed before")
def failed_before(context: Context, tasks: int) -> None:
    step = StepSpec(tasks, ONE, long_running=True)
    job = add_job(context.leader, _job_id("fa"), step)
    for task in context.leader.jobs[job.job_id].occurrences[0].tasks:
        task.failed_on.add("vm-0")
        task.waiting_since_s = context.now_s


@when("the leader plans a round")
def plan_round(context: Context) -> None:
    began_s = time.process_time()
    context.leader.tick(context.now_s, WALL_MS)
    context.round_cpu_s = time.process_time() - began_s


@then("all {tasks:d} tasks are claimed")
def tasks_claimed(context: Context, tasks: int) -> None:
    claims = sum(len(vm.claims) for vm in context.leader.vms.values())
    assert claims == tasks, claims


@then("the round used less than {limit_s:g} s of processor time")
def bounded_round(context: Context, limit_s: float) -> None:
    assert context.round_cpu_s < limit_s, context.round_cpu_s
