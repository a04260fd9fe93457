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
from yuccapoint.cell.cell_messages import RefusedRun
from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.cell_records import Member
from yuccapoint.cell.cell_view import CellView
from yuccapoint.cell.occurrence_state import OccurrenceState
from yuccapoint.cell.occurrence_state import Outcome
from yuccapoint.cell.occurrence_state import Phase
from yuccapoint.cell.occurrence_state import TaskState
from yuccapoint.cell.occurrence_state import WorkerInstance
from yuccapoint.cell.queue_address import QueueAddress
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

JOB_ID = "0" * 16
TASK_ID = f"{JOB_ID}.0.0.0"
# A state as versions without the mark of a start declared it.
EarlierState = msgspec.defstruct(
    "EarlierState",
    [
        ("outcome", Outcome),
        ("instances", list[WorkerInstance]),
        ("steps", list[list[TaskState]]),
    ],
    array_like=True,
)
PROGRESS_KEY = cell_records.progress_key(JOB_ID, 0)


def _store(context: Context, leader: CellLeader) -> None:
    batch = leader.collect_batch()
    for key, value in batch.records:
        context.offset += 1
        context.stored.append(key)
        record = cell_records.decode(key, value)
        context.view.apply(key, record, context.offset)
    leader.commit(batch)


def _play_round(context: Context, leader: CellLeader, seconds: float) -> None:
    context.now_s += seconds
    leader.tick(context.now_s, WALL_MS)
    _store(context, leader)


@given("a leader, a VM and a job of one task that is claimed")
def claimed_job(context: Context) -> None:
    context.leader = make_leader(1)
    context.view = CellView()
    context.offset, context.stored = 0, []
    context.now_s = 10.0
    context.reports = 1
    step = StepSpec(1, Size(1_000, 2**20, 0))
    job = add_job(context.leader, JOB_ID, step, max_attempts=3)
    context.view.apply(cell_records.SUBMISSION + JOB_ID, job, 0)
    _play_round(context, context.leader, 0.01)
    assert context.view.find(JOB_ID).has_claims


def _changes(what: str) -> dict[str, object]:
    if what == "nothing yet":
        return {}
    if what == "pending":
        return {"pending": ((TASK_ID, 1),)}
    if what == "refused":
        return {"refused": (RefusedRun(TASK_ID, 1, "room"),)}
    if what == "running":
        return {"running": (RunningTask(TASK_ID, 1, "", 10, 0.0),)}
    return {"ends": (EndedRun(1, TASK_ID, 1, what, ""),)}


@when("the agent reports the run as {what}")
def agent_reports(context: Context, what: str) -> None:
    context.reports += 1
    message = report("vm-0", context.reports, **_changes(what))
    deliver_report(context.leader, message, context.now_s)
    _store(context, context.leader)
    # The count may be two seconds old.
    _play_round(context, context.leader, 1.1)


@when("another leader claims the task again")
def another_leader(context: Context) -> None:
    context.now_s += 10.0
    leader = CellLeader("e-1", "e-1", 2, context.now_s)
    leader.on_member(Member("vm-0", "vm-0", 1))
    leader.load(context.view, context.now_s)
    context.now_s += 10.0
    for sequence in (50, 51):
        message = report("vm-0", sequence, term=2)
        deliver_report(leader, message, context.now_s)
    _play_round(context, leader, 0.1)
    state = context.view.find(JOB_ID).occurrences[0].steps[0][0]
    assert state.phase is Phase.CLAIMED, state
    assert state.run > 1, state


@then("{count:d} jobs are counted as pending")
def pending_counted(context: Context, count: int) -> None:
    address = QueueAddress("example.org", "/route/")
    counted = context.view.count_pending(address, "route")
    assert counted == count, counted


@then("the job's state was stored {count:d} times")
def stored_times(context: Context, count: int) -> None:
    assert context.stored.count(PROGRESS_KEY) == count, context.stored


@given("a state of a job that an earlier version stored")
def earlier_state(context: Context) -> None:
    fields = [Outcome.OPEN, [], [[TaskState(run=2, phase=Phase.DONE)]]]
    context.value = msgspec.msgpack.encode(fields)


@when("it is read")
def read_state(context: Context) -> None:
    context.state = cell_records.decode(PROGRESS_KEY, context.value)


@then("its tasks are known and no start is")
def state_is_read(context: Context) -> None:
    assert isinstance(context.state, OccurrenceState)
    assert context.state.steps[0][0].run == 2
    assert not context.state.begun


@given("a state with the mark of a start")
def marked_state(context: Context) -> None:
    state = OccurrenceState(Outcome.OPEN, [], [[TaskState(run=2)]], begun=True)
    context.value = cell_records.encode(state)
    assert cell_records.decode(PROGRESS_KEY, context.value).begun


@when("it is read by an earlier version")
def read_by_earlier(context: Context) -> None:
    context.state = msgspec.msgpack.decode(context.value, type=EarlierState)


@then("its tasks are known")
def tasks_known(context: Context) -> None:
    assert context.state.steps[0][0].run == 2, context.state
