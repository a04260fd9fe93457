from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from cell_leader_steps import add_job
from cell_leader_steps import deliver_report
from cell_leader_steps import report
from cell_leader_steps import WALL_MS
import msgspec

from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

ONE = Size(1_000, 2**20, 0)
STEP_S = 0.25
WAIT_TEXT = "still waits; left out VMs by reason"


def _job_id(name: str) -> str:
    return name.ljust(16, "0")


def _report(context: Context, vm: str) -> None:
    """Report what runs on a VM, and let the leader answer."""
    ledger = context.leader.vms[vm]
    running = tuple(
        RunningTask(task.task_id, task.run, "", 50, 0.0)
        for task in ledger.claims.values()
    )
    message = report(vm, ledger.report_sequence + 1, running=running)
    if vm in getattr(context, "draining", ()):
        worker = msgspec.structs.replace(message.worker, draining=True)
        message = msgspec.structs.replace(message, worker=worker)
    deliver_report(context.leader, message, context.now_s)


def _round(context: Context) -> None:
    """Advance the time, with reports of all VMs and a scheduling round."""
    context.now_s += STEP_S
    for vm in context.leader.vms:
        _report(context, vm)
    context.leader.tick(context.now_s, WALL_MS)
    context.leader.commit(context.leader.collect_batch())
    context.leader.collect_orders(context.now_s, may_grant=True)


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
    for _ in range(int(seconds / STEP_S)):
        _round(context)


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
