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

from yuccapoint.cell.cell_messages import EndedRun
from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

    from yuccapoint.cell.task_run import TaskRun

STEP_JOB = "d" * 16
SERVICE_JOB = "f" * 16
MILLICORES = 1_000


def _tasks(context: Context) -> list[TaskRun]:
    return context.leader.jobs[STEP_JOB].occurrences[0].tasks


def _claim(context: Context, task: TaskRun, vm: str) -> None:
    ledger = context.leader.vms[vm]
    assert ledger.instance is not None
    task.claim(ledger.instance, task.run + 1)
    task.ordered_at_s = context.now_s
    ledger.claims[task.task_id] = task


@given(
    "a leader with {vms:d} VMs and a step of {tasks:d} best-effort runs"
    ' of {seconds:d} s on "{vm}"'
)
def step_on_vm(
    context: Context, vms: int, tasks: int, seconds: int, vm: str
) -> None:
    context.leader = make_leader(vms)
    context.now_s = 10.0
    context.sequence = 10
    context.ends = {}
    context.tail_ms = 0.0
    step = StepSpec(
        tasks,
        Size(MILLICORES, 2**20, 0),
        seconds * 1_000,
        best_effort=True,
        saves_progress=True,
        image="fill",
    )
    add_job(context.leader, STEP_JOB, step, objective_ms=60_000)
    for task in _tasks(context):
        _claim(context, task, vm)


@given('a service on "{vm}" with a tail latency of {tail:d} ms of {target:d}')
def busy_service(context: Context, vm: str, tail: int, target: int) -> None:
    step = StepSpec(
        1,
        Size(2_000, 2**20, 0),
        long_running=True,
        image="svc",
        target_ms=target,
    )
    add_job(context.leader, SERVICE_JOB, step)
    task = context.leader.find_task(f"{SERVICE_JOB}.0.0.0")
    _claim(context, task, vm)
    context.tail_ms = float(tail)


def _listed(context: Context, vm: str, percent: int) -> list[RunningTask]:
    listed = []
    for task in context.leader.vms[vm].claims.values():
        if task.step.spec.target_ms:
            load = context.tail_ms
            listed.append(RunningTask(task.task_id, 1, "", 100, load))
            continue
        first = task.index == 0
        load = MILLICORES * (0.1 if first else 1.0)
        done = percent if first else 50
        saved = f"saved-{context.sequence}"
        listed.append(RunningTask(task.task_id, task.run, saved, done, load))
    return listed


def _report(context: Context, percent: int) -> None:
    context.sequence += 1
    for vm in context.leader.vms:
        ends = context.ends.get(vm, ())
        running = tuple(_listed(context, vm, percent))
        message = report(vm, context.sequence, running=running, ends=ends)
        deliver_report(context.leader, message, context.now_s)


def _slow_for(context: Context, seconds: int, percent: int) -> None:
    for _ in range(2 * seconds):
        context.now_s += 0.5
        _report(context, percent)
        context.leader.tick(context.now_s, WALL_MS)
        context.leader.commit(context.leader.collect_batch())


@when("for {seconds:d} s its first run uses 10 percent of its processors")
def slow_run(context: Context, seconds: int) -> None:
    _slow_for(context, seconds, 20)


@when(
    "for {seconds:d} s its first run uses 10 percent of its processors"
    " at {percent:d} percent"
)
def slow_run_at(context: Context, seconds: int, percent: int) -> None:
    _slow_for(context, seconds, percent)


@when("the queue of the step is sent to another pool")
def change_pool(context: Context) -> None:
    job = context.leader.jobs[STEP_JOB]
    rules = msgspec.structs.replace(job.queue.rules, pool="another")
    # The first round resolves the queue; later ones do on a new config only.
    context.leader.tick(context.now_s, WALL_MS)
    job.queue = msgspec.structs.replace(
        job.queue, config_version=1, rules=rules
    )


@when("the stopped run has ended")
def stopped_run_ends(context: Context) -> None:
    task = _tasks(context)[0]
    assert task.stopping
    vm = task.instance.vm
    ended = EndedRun(1, task.task_id, task.run, "stopped", "saved-at-stop")
    context.ends = {vm: (ended,)}
    context.now_s += 0.1
    context.sequence += 1
    message = report(vm, context.sequence, ends=(ended,))
    deliver_report(context.leader, message, context.now_s)
    context.leader.tick(context.now_s, WALL_MS)
    context.leader.commit(context.leader.collect_batch())


@then("only its first run is stopped")
def first_stopped(context: Context) -> None:
    stopped = [task.index for task in _tasks(context) if task.stopping]
    assert stopped == [0], stopped


@then("no run of the step is stopped")
def none_stopped(context: Context) -> None:
    stopped = [task.index for task in _tasks(context) if task.stopping]
    assert not stopped, stopped


@then('its first run is claimed on "{vm}"')
def claimed_on(context: Context, vm: str) -> None:
    instance = _tasks(context)[0].instance
    assert instance is not None
    assert instance.vm == vm, instance


@given('a leader with {vms:d} VMs and a service on "{vm}" only')
def service_on_one(context: Context, vms: int, vm: str) -> None:
    context.leader = make_leader(vms)
    context.now_s = 10.0
    busy_service(context, vm, 0, 18)


@when("a step of {tasks:d} best-effort tasks of 1 processor is submitted")
def submit_step(context: Context, tasks: int) -> None:
    step = StepSpec(
        tasks, Size(MILLICORES, 2**20, 0), 8_000, best_effort=True, image="f"
    )
    add_job(context.leader, STEP_JOB, step, objective_ms=60_000)
    context.leader.tick(context.now_s, WALL_MS)


@then('all tasks of the step are claimed on "{vm}"')
def step_claimed_on(context: Context, vm: str) -> None:
    seen = {task.instance and task.instance.vm for task in _tasks(context)}
    assert seen == {vm}, seen
