from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from cell_leader_steps import add_job
from cell_leader_steps import hear
from cell_leader_steps import make_leader
from cell_leader_steps import report
from cell_leader_steps import WALL_MS

from yuccapoint.cell import cell_records
from yuccapoint.cell.cell_records import Cancellation
from yuccapoint.cell.cell_records import Leadership
from yuccapoint.cell.cell_view import CellView
from yuccapoint.cell.leadership import LeadershipWatch
from yuccapoint.cell.progress import OccurrenceState
from yuccapoint.cell.progress import Outcome
from yuccapoint.cell.progress import Phase
from yuccapoint.cell.progress import TaskState
from yuccapoint.cell.queue_rules import QueueRules
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.cell.submission import Submission
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

    from yuccapoint.cell.job_run import TaskRun

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
    context.leader.commit(context.leader.take_batch())
    on = {task.life.vm for task in _tasks(context)}
    assert len(on) == vms, on


@when('the agent of "{vm}" starts anew and knows no worker for {seconds:d} s')
def no_worker(context: Context, vm: str, seconds: int) -> None:
    leader = context.leader
    for number in range(2 * seconds):
        context.now_s += 0.5
        for name in leader.vms:
            changes = {}
            if name == vm:
                changes = {"incarnation": 2, "worker": None, "looked": False}
            message = report(name, 10 + number, **changes)
            hear(leader, message, context.now_s)
        leader.tick(context.now_s, WALL_MS)
        leader.commit(leader.take_batch())


@then('all open tasks are claimed on "{vm}"')
def claimed_there(context: Context, vm: str) -> None:
    for task in _tasks(context):
        assert task.phase is Phase.CLAIMED, task.phase
        assert task.life.vm == vm, task.life


@given("a view of a job that completed at offset {offset:d}")
def completed_view(context: Context, offset: int) -> None:
    context.view = CellView()
    job = Submission(JOB_ID, QueueRules("route", "pool"), "payload", (STEP,))
    context.view.apply(cell_records.SUBMISSION + JOB_ID, job, 1)
    done = [TaskState(1, Phase.DONE) for _ in range(STEP.tasks)]
    state = OccurrenceState(Outcome.COMPLETED, [], [done])
    context.view.apply(cell_records.progress_key(JOB_ID, 0), state, offset)


@when("a cancellation comes at offset {offset:d}")
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
    context.watch = LeadershipWatch("e-0", 1, 0.0)
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
