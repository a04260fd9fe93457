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

from yuccapoint.cell import cell_records
from yuccapoint.cell.cell_leader import CellLeader
from yuccapoint.cell.cell_messages import EndedRun
from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.cell_records import Cancellation
from yuccapoint.cell.cell_records import Leadership
from yuccapoint.cell.cell_view import CellView
from yuccapoint.cell.leader_election import LeaderElection
from yuccapoint.cell.occurrence_state import OccurrenceState
from yuccapoint.cell.occurrence_state import Outcome
from yuccapoint.cell.occurrence_state import Phase
from yuccapoint.cell.occurrence_state import TaskState
from yuccapoint.cell.queue_rules import QueueRules
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.cell.submission import Submission
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

    from yuccapoint.cell.task_run import TaskRun

JOB_ID = "e" * 16
STEP = StepSpec(4, Size(1_000, 2**20, 0))


def _tasks(context: Context) -> list[TaskRun]:
    return context.leader.jobs[JOB_ID].occurrences[0].tasks


@given("a leader with {vms:d} VMs that work on a job of {tasks:d} tasks")
def working(context: Context, vms: int, tasks: int) -> None:
    assert tasks == STEP.tasks
    context.leader = make_leader(vms)
    context.now_s = 10.0
    add_job(context.leader, JOB_ID, STEP)
    context.leader.tick(context.now_s, WALL_MS)
    context.leader.commit(context.leader.collect_batch())
    on = {task.instance.vm for task in _tasks(context)}
    assert len(on) == vms, on


@when('the agent of "{vm}" restarts and has no worker for {seconds:d} s')
def no_worker(context: Context, vm: str, seconds: int) -> None:
    leader = context.leader
    for number in range(2 * seconds):
        context.now_s += 0.5
        for name in leader.vms:
            changes = {}
            if name == vm:
                changes = {
                    "incarnation": 2,
                    "worker": None,
                    "runs_listed": False,
                }
            message = report(name, 10 + number, **changes)
            deliver_report(leader, message, context.now_s)
        leader.tick(context.now_s, WALL_MS)
        leader.commit(leader.collect_batch())


@then('all open tasks are claimed on "{vm}"')
def claimed_there(context: Context, vm: str) -> None:
    for task in _tasks(context):
        assert task.phase is Phase.CLAIMED, task.phase
        assert task.instance.vm == vm, task.instance


@given("a view of a job that completed at offset {offset:d}")
def completed_view(context: Context, offset: int) -> None:
    context.view = CellView()
    job = Submission(JOB_ID, QueueRules("route", "pool"), "payload", (STEP,))
    context.view.apply(cell_records.SUBMISSION + JOB_ID, job, 1)
    done = [TaskState(1, Phase.DONE) for _ in range(STEP.tasks)]
    state = OccurrenceState(Outcome.COMPLETED, [], [done])
    context.view.apply(cell_records.progress_key(JOB_ID, 0), state, offset)


@given('a view of a job whose occurrences ended as "{outcomes}"')
def ended_view(context: Context, outcomes: str) -> None:
    context.view = CellView()
    names = outcomes.split()
    job = Submission(
        JOB_ID,
        QueueRules("route", "pool"),
        "payload",
        (STEP,),
        repeats=len(names),
    )
    context.view.apply(cell_records.SUBMISSION + JOB_ID, job, 1)
    for number, name in enumerate(names):
        key = cell_records.progress_key(JOB_ID, number)
        state = OccurrenceState(Outcome(name), [], [])
        context.view.apply(key, state, 2 + number)


@when("a cancellation is read at offset {offset:d}")
def cancelled(context: Context, offset: int) -> None:
    key = cell_records.CANCELLATION + JOB_ID
    context.view.apply(key, Cancellation(JOB_ID, 0), offset)


@then('the job is shown as "{state}"')
def shown(context: Context, state: str) -> None:
    found = context.view.find(JOB_ID)
    assert found.outcome.value == state, found.outcome


@given("an entry that leads term {term:d}")
def leading(context: Context, term: int) -> None:
    context.now_s = 100.0
    context.watch = LeaderElection("e-0", 1, 0.0)
    context.watch.on_records_read(Leadership(term, "e-0", 1), context.now_s)
    context.watch.on_renewed(context.now_s)
    assert context.watch.may_grant(context.now_s)


@when("the store refuses its records for a newer term")
def fenced(context: Context) -> None:
    context.watch.on_fenced(context.watch.term)


@when("it reads that another entry leads term {term:d}")
def another_leads(context: Context, term: int) -> None:
    context.now_s += 0.5
    context.watch.on_records_read(Leadership(term, "e-1", 1), context.now_s)


@then("it neither leads nor grants nor takes over at once")
def leads_no_more(context: Context) -> None:
    assert not context.watch.leads()
    assert not context.watch.may_grant(context.now_s)
    assert not context.watch.should_take_over(context.now_s + 0.3)


@given("a follower that reads a renewal each {interval_s:f} s")
def follower(context: Context, interval_s: float) -> None:
    context.now_s = 100.0
    context.watch = LeaderElection("e-0", 1, 0.0)
    for number in range(5):
        context.now_s += interval_s
        context.newest = Leadership(3, "e-1", 1, number)
        context.watch.on_records_read(context.newest, context.now_s)
    # The last read returns just before the next renewal is stored.
    context.now_s += interval_s - 0.01
    context.watch.on_records_read(context.newest, context.now_s)
    context.tried = False


def _watch(context: Context, seconds: float) -> None:
    until_s = context.now_s + seconds
    while context.now_s < until_s:
        context.now_s += 0.01
        context.tried |= context.watch.should_take_over(context.now_s)


@when("its reads hang for {seconds:f} s")
def reads_hang(context: Context, seconds: float) -> None:
    _watch(context, seconds)


@when(
    "the leader is gone for {gone_s:f} s and reads return after {read_s:f} s"
    " each"
)
def leader_gone(context: Context, gone_s: float, read_s: float) -> None:
    gone_from_s = context.now_s
    while context.now_s + read_s < gone_from_s + gone_s:
        _watch(context, read_s)
        context.watch.on_records_read(context.newest, context.now_s)
    _watch(context, gone_from_s + gone_s - context.now_s)


@then("it did not try to take over")
def not_tried(context: Context) -> None:
    assert not context.tried


@then("it tried to take over")
def tried(context: Context) -> None:
    assert context.tried


@when("the VM reports checkpoints of all tasks for {seconds:d} s")
def report_progress(context: Context, seconds: int) -> None:
    leader = context.leader
    context.view = CellView()
    job = leader.jobs[JOB_ID].submission
    context.view.apply(cell_records.SUBMISSION + JOB_ID, job, 0)
    offset = 1
    for number in range(seconds * 2):
        context.now_s += 0.5
        running = tuple(
            RunningTask(task.task_id, task.run, f"save-{number}", 10, 0.0)
            for task in _tasks(context)
        )
        message = report("vm-0", 10 + number, running=running)
        deliver_report(leader, message, context.now_s)
        leader.tick(context.now_s, WALL_MS)
        batch = leader.collect_batch()
        for key, value in batch.records:
            record = cell_records.decode(key, value)
            context.view.apply(key, record, offset)
            offset += 1
        leader.commit(batch)
    context.last_checkpoints = {
        f"save-{seconds * 2 - 1}",
        f"save-{seconds * 2 - 2}",
    }


@when("a new leader loads the stored records")
def load_stored(context: Context) -> None:
    context.leader = CellLeader("e-1", "e-1", 2, context.now_s)
    context.leader.load(context.view, context.now_s)


@then("each of its tasks has one of the last two checkpoints")
def has_checkpoint(context: Context) -> None:
    found = {task.checkpoint for task in _tasks(context)}
    assert found <= context.last_checkpoints, found


@given("a leader with {vms:d} VMs and a stopped gang of {tasks:d} tasks")
def stopped_gang(context: Context, vms: int, tasks: int) -> None:
    context.leader = make_leader(vms)
    context.now_s = 10.0
    step = StepSpec(
        tasks, Size(5_000, 2**20, 0), gang=True, saves_progress=True
    )
    add_job(context.leader, JOB_ID, step)
    leader = context.leader
    leader.tick(context.now_s, WALL_MS)
    leader.commit(leader.collect_batch())
    for index, task in enumerate(_tasks(context)):
        assert task.instance is not None
        ended = EndedRun(1, task.task_id, 1, "stopped", f"save-of-{index}")
        message = report(task.instance.vm, 20, ends=(ended,))
        deliver_report(leader, message, context.now_s)


@when("the gang is claimed again")
def claim_gang(context: Context) -> None:
    context.now_s += 1.0
    leader = context.leader
    for vm in leader.vms:
        deliver_report(leader, report(vm, 30), context.now_s)
    leader.tick(context.now_s, WALL_MS)


@then("both members have the same checkpoint")
def same_checkpoint(context: Context) -> None:
    tasks = _tasks(context)
    assert all(task.phase is Phase.CLAIMED for task in tasks)
    assert len({task.checkpoint for task in tasks}) == 1, tasks
    assert tasks[0].checkpoint, "the checkpoint was lost"


@when("its submission is read again at offset {offset:d}")
def submitted_again(context: Context, offset: int) -> None:
    job = context.view.find(JOB_ID).submission
    key = cell_records.SUBMISSION + JOB_ID
    context.applied = context.view.apply(key, job, offset)


@then('the copy is ignored, and the job is shown as "{state}"')
def copy_ignored(context: Context, state: str) -> None:
    assert not context.applied, "a leader would add the job again"
    shown(context, state)
