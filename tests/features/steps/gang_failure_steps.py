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
import msgspec

from yuccapoint.cell import cell_records
from yuccapoint.cell.cell_leader import CellLeader
from yuccapoint.cell.cell_messages import EndedRun
from yuccapoint.cell.cell_view import CellView
from yuccapoint.cell.occurrence_state import Phase
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

    from yuccapoint.cell.task_run import TaskRun

JOB_ID = "a" * 16
# Fields of an occurrence's record that an earlier build wrote.
EARLIER_FIELDS = 4


def _members(context: Context, vm: str = "") -> list[TaskRun]:
    """Return the members, or those that hold a claim on a VM."""
    tasks = context.occurrence.tasks
    if not vm:
        return tasks
    return [
        task
        for task in tasks
        if task.instance is not None and task.instance.vm == vm
    ]


def _report(context: Context, vm: str, ends: tuple[EndedRun, ...]) -> None:
    context.sequence += 1
    message = report(vm, context.sequence, ends=ends, term=context.leader.term)
    context.messages.append(message)
    deliver_report(context.leader, message, context.now_s)


def _end(context: Context, task: TaskRun, how: str) -> EndedRun:
    context.ends += 1
    return EndedRun(context.ends, task.task_id, task.run, how, "")


def _end_members(context: Context, failed: list[TaskRun]) -> None:
    """End the run of all members, in one report of each VM."""
    for vm in context.leader.vms:
        ends = tuple(
            _end(context, task, "failed" if task in failed else "broken")
            for task in _members(context, vm)
        )
        _report(context, vm, ends)
    _store(context)


def _work(context: Context) -> None:
    context.leader.tick(context.now_s, WALL_MS)
    _store(context)


def _store(context: Context) -> None:
    batch = context.leader.collect_batch()
    context.records.update(batch.records)
    context.leader.commit(batch)


@given("a gang of {tasks:d} tasks on 2 VMs, with {attempts:d} attempts")
def gang_on_two(context: Context, tasks: int, attempts: int) -> None:
    context.leader = make_leader(2)
    context.now_s = 10.0
    context.sequence = 10
    context.ends = 0
    context.messages = []
    context.records = {}
    step = StepSpec(tasks, Size(4_000, 2**20, 0), 1_000, gang=True)
    context.submission = add_job(
        context.leader,
        JOB_ID,
        step,
        max_attempts=attempts,
        objective_ms=60_000,
    )
    context.occurrence = context.leader.jobs[JOB_ID].occurrences[0]
    _work(context)
    for vm in context.leader.vms:
        assert len(_members(context, vm)) == tasks // 2, vm


@given('a task of another job has failed on "{vm}"')
def other_failed(context: Context, vm: str) -> None:
    context.leader.vms[vm].record_failure("b" * 16, context.now_s)


@when('the members on "{vm}" fail in one report, and the others break')
def fail_in_one(context: Context, vm: str) -> None:
    context.failed_at_s = context.now_s
    _end_members(context, _members(context, vm))


@when("member {index:d} fails, and the others break")
def fail_one(context: Context, index: int) -> None:
    _end_members(context, [_members(context)[index]])


@when('the members on "{vm}" fail, each in a report of its own')
def fail_in_turn(context: Context, vm: str) -> None:
    for task in _members(context, vm):
        _report(context, vm, (_end(context, task, "failed"),))
        context.now_s += 0.05
    _store(context)


@when("the gang is started again")
def started_again(context: Context) -> None:
    runs = {task.run for task in _members(context)}
    # Past all quarantines, with a trial of the VMs that were in one.
    for _ in range(40):
        context.now_s += 0.25
        for vm in context.leader.vms:
            _report(context, vm, ())
        _work(context)
        if all(t.phase is Phase.CLAIMED for t in _members(context)):
            break
    claimed = {(task.phase, task.run) for task in _members(context)}
    assert claimed == {(Phase.CLAIMED, max(runs) + 1)}, claimed


@when("a new leader takes over the gang from the store")
def take_over(context: Context) -> None:
    view = CellView()
    view.apply(cell_records.SUBMISSION + JOB_ID, context.submission, 0)
    for offset, (key, value) in enumerate(context.records.items(), 1):
        view.apply(key, cell_records.decode(key, value), offset)
    former = context.leader
    context.leader = CellLeader("e-1", "e-1", 2, context.now_s)
    context.leader.load(view, context.now_s)
    context.occurrence = context.leader.jobs[JOB_ID].occurrences[0]
    for vm in former.vms:
        _report(context, vm, ())


@when("a new leader takes over the gang from the store of an earlier build")
def take_over_earlier(context: Context) -> None:
    key = cell_records.progress_key(JOB_ID, 0)
    fields = msgspec.msgpack.decode(context.records[key])
    context.records[key] = msgspec.msgpack.encode(fields[:EARLIER_FIELDS])
    take_over(context)


@when("all ends are reported again")
def report_again(context: Context) -> None:
    for vm in context.leader.vms:
        own = tuple(
            end
            for message in context.messages
            if message.vm == vm
            for end in message.ends
        )
        _report(context, vm, own)
    _store(context)


@then("the gang's job is {state}")
def gang_state(context: Context, state: str) -> None:
    outcome = context.occurrence.outcome.value
    assert (outcome or "open") == state, outcome


@then('"{vm}" is in quarantine for {seconds:d} s')
def quarantined_for(context: Context, vm: str, seconds: int) -> None:
    ledger = context.leader.vms[vm]
    found_s = ledger.quarantined_until_s - context.failed_at_s
    assert abs(found_s - seconds) < 0.01, found_s


@then("the gang is not started within {wait_ms:d} ms")
def not_started(context: Context, wait_ms: int) -> None:
    context.now_s += wait_ms / 1000
    _work(context)
    assert all(t.phase is Phase.WAITING for t in _members(context))
