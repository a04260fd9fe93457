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
from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.cell_view import CellView
from yuccapoint.cell.crash_messages import CrashReport
from yuccapoint.cell.crash_messages import CrashSuspect
from yuccapoint.cell.occurrence_state import Outcome
from yuccapoint.cell.occurrence_state import Phase
from yuccapoint.cell.occurrence_state import WorkerInstance
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

    from yuccapoint.cell.task_run import TaskRun

JOB = "d" * 16
OTHER_JOB = "e" * 16
ONE = Size(1_000, 2**20, 0)
KINDS = {
    "plain": {},
    "gang": {"gang": True},
    "long-running": {"long_running": True},
}


def _add(context: Context, job_id: str, tasks: int, kind: str) -> None:
    step = StepSpec(tasks, ONE, 1_000, **KINDS[kind])
    context.submissions.append(
        add_job(context.leader, job_id, step, objective_ms=60_000)
    )


@given("{vms:d} VMs on which a {kind} job of {tasks:d} tasks is claimed")
def claimed_job(context: Context, vms: int, kind: str, tasks: int) -> None:
    context.leader = make_leader(vms)
    context.now_s = 10.0
    context.sequence = 10
    context.records = {}
    context.submissions = []
    context.reports = []
    _add(context, JOB, tasks, kind)
    context.occurrence = context.leader.jobs[JOB].occurrences[0]
    _plan(context)
    assert all(task.phase is Phase.CLAIMED for task in _tasks(context))


def _tasks(context: Context) -> list[TaskRun]:
    return context.occurrence.tasks


def _plan(context: Context) -> None:
    context.sequence += 1
    for name, vm in context.leader.vms.items():
        # A worker lists all runs that were claimed a while ago.
        running = tuple(
            RunningTask(task.task_id, task.run, "", 5, 0.0)
            for task in vm.claims.values()
        )
        message = report(
            name,
            context.sequence,
            running=running,
            term=context.leader.term,
        )
        worker = msgspec.structs.replace(message.worker, instance=vm.instance)
        deliver_report(
            context.leader,
            msgspec.structs.replace(message, worker=worker),
            context.now_s,
        )
    context.leader.tick(context.now_s, WALL_MS)
    batch = context.leader.collect_batch()
    context.records.update(batch.records)
    context.leader.commit(batch)


def _crash(
    context: Context,
    names: list[str],
    tasks: list[TaskRun],
    *,
    started: bool = True,
    doubtful: bool = False,
    beside: tuple[CrashSuspect, ...] = (),
) -> None:
    """Report a crash of a VM's worker and its new instance."""
    [vm] = {task.instance.vm for task in tasks}
    suspects = tuple(
        CrashSuspect(task.task_id, task.run, started, doubtful)
        for task in tasks
    )
    suspects += beside
    crash = CrashReport(vm=vm, incarnation=1, crashes=(suspects,), proven=())
    for step in names:
        if step == "crash":
            context.leader.crash_counter.apply(crash, context.now_s)
            continue
        ledger = context.leader.vms[vm]
        context.sequence += 1
        message = report(vm, context.sequence)
        instance = WorkerInstance(
            vm, ledger.instance.worker_id, ledger.instance.born_ms + 1
        )
        worker = msgspec.structs.replace(message.worker, instance=instance)
        message = msgspec.structs.replace(message, worker=worker)
        deliver_report(context.leader, message, context.now_s)
    context.reports.append(crash)


@when("the worker of task {index:d} crashes, with it as the only suspect")
def crash_of_task(context: Context, index: int) -> None:
    _crash(context, ["crash", "restart"], [_tasks(context)[index]])
    _end_gang(context)
    context.now_s += 3.0
    _plan(context)


def _end_gang(context: Context) -> None:
    """Report that the other members of a gang have ended."""
    for task in _tasks(context):
        if not task.step.spec.gang or task.instance is None:
            continue
        context.sequence += 1
        number = context.sequence
        end = EndedRun(number, task.task_id, task.run, "violations", "")
        message = report(task.instance.vm, number, ends=(end,))
        worker = msgspec.structs.replace(
            message.worker, instance=task.instance
        )
        message = msgspec.structs.replace(message, worker=worker)
        deliver_report(context.leader, message, context.now_s)


@when("its worker crashes before the start of task {index:d} is answered")
def crash_before_answer(context: Context, index: int) -> None:
    _crash(
        context, ["crash", "restart"], [_tasks(context)[index]], started=False
    )
    context.now_s += 3.0
    _plan(context)


@when("the worker of task {index:d} crashes some time after the start")
def crash_after_a_while(context: Context, index: int) -> None:
    _crash(
        context,
        ["crash", "restart"],
        [_tasks(context)[index]],
        doubtful=True,
    )
    context.now_s += 3.0
    _plan(context)


@when("its worker is silent, and the start of task {index:d} is unanswered")
def crash_in_silence(context: Context, index: int) -> None:
    _crash(
        context,
        ["crash", "restart"],
        [_tasks(context)[index]],
        started=False,
        doubtful=True,
    )
    context.now_s += 3.0
    _plan(context)


@when("the worker of task {index:d} crashes, and the claim is released first")
def crash_reported_late(context: Context, index: int) -> None:
    _crash(context, ["restart", "crash"], [_tasks(context)[index]])
    context.now_s += 3.0
    _plan(context)


@when("all crashes are reported again")
def report_again(context: Context) -> None:
    for message in context.reports:
        context.leader.crash_counter.apply(message, context.now_s)
    _plan(context)


@when("the worker of all tasks crashes, with all of them as suspects")
def crash_of_all(context: Context) -> None:
    _crash(context, ["crash", "restart"], _tasks(context))
    context.now_s += 3.0
    _plan(context)


@when("the worker of task {index:d} crashes, with a task of another job")
def crash_beside(context: Context, index: int) -> None:
    task = _tasks(context)[index]
    other = CrashSuspect(f"{OTHER_JOB}.0.0.0", 1, True)
    _crash(context, ["crash", "restart"], [task], beside=(other,))
    context.now_s += 3.0
    _plan(context)


@when("another leader takes over from the store")
def new_leader(context: Context) -> None:
    former = context.leader
    view = CellView()
    for offset, job in enumerate(context.submissions):
        view.apply(cell_records.SUBMISSION + job.job_id, job, offset)
    for offset, (key, value) in enumerate(context.records.items(), 10):
        view.apply(key, cell_records.decode(key, value), offset)
    context.leader = CellLeader("e-1", "e-1", 2, context.now_s)
    context.leader.load(view, context.now_s)
    context.occurrence = context.leader.jobs[JOB].occurrences[0]
    for name, vm in former.vms.items():
        context.sequence += 1
        message = report(name, context.sequence, term=2)
        worker = msgspec.structs.replace(message.worker, instance=vm.instance)
        message = msgspec.structs.replace(message, worker=worker)
        context.leader.on_report(message, context.now_s)


@then("the job is {state}")
def job_state(context: Context, state: str) -> None:
    outcome = context.occurrence.outcome
    expected = Outcome.FAILED if state == "failed" else Outcome.OPEN
    assert outcome is expected, outcome


@then("the job's stored state is failed")
def stored_failed(context: Context) -> None:
    key = cell_records.progress_key(JOB, 0)
    state = cell_records.decode(key, context.records[key])
    assert state.outcome is Outcome.FAILED, state


@then("task {index:d} has no failed attempt and its VM is open")
def no_failure(context: Context, index: int) -> None:
    task = _tasks(context)[index]
    assert task.failures == 0, task.failures
    assert not task.failed_on, task.failed_on
    for vm in context.leader.vms.values():
        assert vm.is_open(context.now_s), vm.name


@then("{count:d} of the suspects start now, each on a VM of its own")
def start_alone(context: Context, count: int) -> None:
    claimed = [t for t in _tasks(context) if t.phase is Phase.CLAIMED]
    vms = {task.instance.vm for task in claimed}
    assert len(claimed) == count, [t.task_id for t in claimed]
    assert len(vms) == count, vms
    context.trial_vms = vms


@when("another job of {tasks:d} tasks is submitted")
def other_job(context: Context, tasks: int) -> None:
    _add(context, OTHER_JOB, tasks, "plain")
    _plan(context)


@then("none of its tasks starts on a VM with a suspect")
def kept_apart(context: Context) -> None:
    [occurrence] = context.leader.jobs[OTHER_JOB].occurrences.values()
    vms = {t.instance.vm for t in occurrence.tasks if t.instance is not None}
    assert vms, "none started"
    assert not vms & context.trial_vms, vms


@when("the suspects that started are proven")
def prove(context: Context) -> None:
    proven = tuple(
        (task.task_id, task.run)
        for task in _tasks(context)
        if task.phase is Phase.CLAIMED
    )
    message = CrashReport(vm="vm-0", incarnation=1, crashes=(), proven=proven)
    context.leader.crash_counter.apply(message, context.now_s)
    _plan(context)


@then("all suspects are claimed")
def all_claimed(context: Context) -> None:
    assert all(task.phase is Phase.CLAIMED for task in _tasks(context))


@when("{jobs:d} jobs of {tasks:d} tasks are submitted {millis:d} ms apart")
def submit_often(context: Context, jobs: int, tasks: int, millis: int) -> None:
    for number in range(jobs):
        _add(context, f"{number:016x}", tasks, "plain")
        _plan(context)
        context.now_s += millis / 1000
        _plan(context)


@given("{vms:d} VMs on which runs of {jobs:d} jobs stall, the worker gone")
def stalled_runs(context: Context, vms: int, jobs: int) -> None:
    context.leader = make_leader(vms)
    context.now_s = 10.0
    context.sequence = 10
    context.records = {}
    context.submissions = []
    context.reports = []
    for number in range(jobs):
        _add(context, f"{number:016x}", vms, "plain")
    for _ in range(8):
        _plan(context)
        context.now_s += 0.5
    stopped = [
        task.stopping
        for vm in context.leader.vms.values()
        for task in vm.claims.values()
    ]
    assert all(stopped), stopped
    assert stopped


@when("the workers are back as new instances")
def all_back(context: Context) -> None:
    for name, vm in context.leader.vms.items():
        context.sequence += 1
        message = report(name, context.sequence)
        instance = WorkerInstance(name, "i-later", vm.instance.born_ms + 1)
        worker = msgspec.structs.replace(message.worker, instance=instance)
        message = msgspec.structs.replace(message, worker=worker)
        deliver_report(context.leader, message, context.now_s)


@then("a long-running job of {tasks:d} tasks is claimed at once")
def long_running_claimed(context: Context, tasks: int) -> None:
    _add(context, JOB, tasks, "long-running")
    context.occurrence = context.leader.jobs[JOB].occurrences[0]
    _plan(context)
    phases = [task.phase for task in _tasks(context)]
    assert phases == [Phase.CLAIMED] * tasks, phases
