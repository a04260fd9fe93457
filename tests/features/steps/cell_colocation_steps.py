from __future__ import annotations

import math
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from cell_leader_steps import add_job
from cell_leader_steps import deliver_report
from cell_leader_steps import make_leader
from cell_leader_steps import report

from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.cell_messages import TaskTraits
from yuccapoint.cell.interference_model import InterferenceModel
from yuccapoint.cell.occurrence_state import Phase
from yuccapoint.cell.pace_controller import PaceController
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.job.interference.pair_report import PairEstimate
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

VM_MILLICORES = 8_000
TARGET_MS = 18
WALL_MS = 1_000_000
SERVICE = "a" * 16


def _poll(context: Context, tail_ms: float, images: list[str]) -> None:
    running = [RunningTask("service", 1, "", 100, tail_ms)]
    traits = {"service": TaskTraits("service", "svc", 2_000, TARGET_MS, False)}
    for image in images:
        running.append(RunningTask(image, 1, "", 10, 1_000.0))
        traits[image] = TaskTraits(image, image, 1_000, 0, True)
    context.now_s += 1.0
    changes = context.pace_controller.on_status(
        tuple(running), traits, VM_MILLICORES, context.now_s
    )
    context.paces.update({task: percent for task, _, percent in changes})
    context.sent.extend(changes)


@given(
    'a pace controller with estimates "{one}" {first:g}'
    ' and "{other}" {second:g}'
)
def make_pace_controller(
    context: Context, one: str, first: float, other: str, second: float
) -> None:
    context.pace_controller = PaceController()
    context.pace_controller.update_estimates(
        (
            PairEstimate("svc", one, first, 0.02, 20.0),
            PairEstimate("svc", other, second, 0.02, 20.0),
        )
    )
    context.now_s = 10.0
    context.paces = {}
    context.sent = []


@when(
    "a service has a tail latency of {tail:d} ms of {target:d}"
    ' beside "{one}" and "{other}"'
)
def serve(
    context: Context, tail: int, target: int, one: str, other: str
) -> None:
    assert target == TARGET_MS
    # The lowest tail latency serves as the baseline of the service.
    _poll(context, 5.0, [])
    _poll(context, float(tail), [one, other])


@then('"{image}" is throttled below {percent:d} percent')
def paced(context: Context, image: str, percent: int) -> None:
    assert context.paces.get(image, 100) < percent, context.paces


@then('"{image}" is not throttled')
def not_paced(context: Context, image: str) -> None:
    assert context.paces.get(image, 100) == 100, context.paces


@then('a further run of "{image}" starts throttled below {percent:d} percent')
def starts_paced(context: Context, image: str, percent: int) -> None:
    traits = {"further": TaskTraits("further", image, 1_000, 0, True)}
    given_percent = context.pace_controller.on_run_started(
        "further", 1, traits, VM_MILLICORES
    )
    assert given_percent is not None
    assert given_percent < percent, given_percent


@then("a pace of {percent:d} percent was sent for each best-effort run")
def paces_sent(context: Context, percent: int) -> None:
    seen = {task: p for task, _, p in context.sent}
    assert seen == {"heavy": percent, "light": percent}, seen


@given("a leader with {vms:d} VMs and a service on each")
def service_on_each(context: Context, vms: int) -> None:
    context.leader = make_leader(vms)
    context.now_s = 10.0
    context.sequence = 100
    step = StepSpec(
        vms,
        Size(2_000, 2**20, 0),
        long_running=True,
        image="svc",
        target_ms=18,
        max_per_vm=1,
    )
    add_job(context.leader, SERVICE, step)
    for number, image in enumerate(("heavy", "light")):
        best_effort = StepSpec(
            1, Size(1_000, 2**20, 0), 60_000, best_effort=True, image=image
        )
        add_job(context.leader, str(number) * 16, best_effort)
    context.leader.tick(context.now_s, WALL_MS)
    # Place the best-effort tasks on the VMs of the scenario.
    for number, vm in (("0", "vm-1"), ("1", "vm-0")):
        task = context.leader.find_task(f"{number * 16}.0.0.0")
        for ledger in context.leader.vms.values():
            ledger.claims.pop(task.task_id, None)
        ledger = context.leader.vms[vm]
        task.claim(ledger.instance, 1)
        ledger.claims[task.task_id] = task
    context.leader.commit(context.leader.collect_batch())


@when(
    'for {seconds:d} s the service load varies, with interference on "{vm}"'
    ' from "{image}"'
)
def vary_load(context: Context, seconds: int, vm: str, image: str) -> None:
    del image
    for tick in range(seconds):
        load = 0.4 + 0.2 * math.sin(tick / 1.6)
        for name, ledger in context.leader.vms.items():
            own = load + (0.2 if name == vm else 0.0)
            running = []
            for task in ledger.claims.values():
                spec = task.step.spec
                tail = 1_000.0 if spec.best_effort else 4.0 / (1.0 - own)
                running.append(
                    RunningTask(task.task_id, task.run, "", 100, tail)
                )
            # The VMs report one after the other.
            context.now_s += 0.25
            context.sequence += 1
            deliver_report(
                context.leader,
                report(name, context.sequence, running=tuple(running)),
                context.now_s,
            )


@then(
    'the estimate of "{heavy}" is at least {least:g}'
    ' and "{light}" at most {most:g}'
)
def estimates_within(
    context: Context, heavy: str, least: float, light: str, most: float
) -> None:
    model = context.leader.interference
    assert model.expected_load("svc", heavy) >= least, model.estimates_for(
        "svc"
    )
    assert model.expected_load("svc", light) <= most, model.estimates_for(
        "svc"
    )


@when('the service is removed from "{vm}"')
def service_leaves(context: Context, vm: str) -> None:
    ledger = context.leader.vms[vm]
    for task in list(ledger.claims.values()):
        if task.step.spec.target_ms:
            del ledger.claims[task.task_id]
            task.release("", context.now_s)
            task.not_before_s = context.now_s + 60


@when('a job of {tasks:d} best-effort tasks "{image}" is submitted')
def best_effort_job(context: Context, tasks: int, image: str) -> None:
    context.job_id = "f" * 16
    step = StepSpec(
        tasks, Size(1_000, 2**20, 0), 2_000, best_effort=True, image=image
    )
    add_job(context.leader, context.job_id, step)
    context.leader.tick(context.now_s, WALL_MS)


@then('all its tasks are claimed on "{vm}"')
def claimed_on(context: Context, vm: str) -> None:
    job = context.leader.jobs[context.job_id]
    tasks = job.occurrences[0].tasks
    phases = [task.phase for task in tasks]
    assert phases == [Phase.CLAIMED] * len(tasks), phases
    assert {task.instance.vm for task in tasks} == {vm}, tasks


@when("a service has a tail latency of {tail:d} ms of {target:d}")
def serve_alone(context: Context, tail: int, target: int) -> None:
    assert target == TARGET_MS
    _poll(context, 5.0, [])
    _poll(context, float(tail), [])


@when(
    "for {polls:d} polls a service has a tail latency of {tail:d} ms"
    " of {target:d}"
    ' beside "{one}" and "{other}"'
)
def serve_long(
    context: Context, polls: int, tail: int, target: int, one: str, other: str
) -> None:
    assert target == TARGET_MS
    if context.now_s == 10.0:
        _poll(context, 5.0, [])
    for _ in range(polls):
        _poll(context, float(tail), [one, other])


def _start_together(context: Context, runs: int, image: str) -> None:
    traits = {"service": TaskTraits("service", "svc", 2_000, TARGET_MS, False)}
    for number in range(runs):
        name = f"{image}-{number}"
        traits[name] = TaskTraits(name, image, 1_000, 0, True)
    context.started = []
    for number in range(runs):
        percent = context.pace_controller.on_run_started(
            f"{image}-{number}", 1, traits, VM_MILLICORES
        )
        context.started.append(100 if percent is None else percent)


@when('{runs:d} runs of "{image}" start before the next poll')
@when('{runs:d} runs of "{image}" start before the first poll')
def start_together(context: Context, runs: int, image: str) -> None:
    _start_together(context, runs, image)


@then("their paces add up to at most {most:d} percent")
def paces_add_up(context: Context, most: int) -> None:
    assert sum(context.started) <= most, context.started


@then("the first of them starts at {percent:d} percent")
def first_starts(context: Context, percent: int) -> None:
    assert context.started[0] == percent, context.started


@when("another leader loads the stored estimates")
def load_pairs(context: Context) -> None:
    context.next_model = InterferenceModel()
    context.next_model.load_estimates(
        context.leader.interference.all_estimates()
    )


@then('its estimate of "{image}" matches that of the former leader')
def same_estimates(context: Context, image: str) -> None:
    before, after = (
        {pair.job_class: pair for pair in model.estimates_for("svc")}[image]
        for model in (context.leader.interference, context.next_model)
    )
    assert abs(before.slowdown - after.slowdown) < 0.01, (before, after)
    assert abs(before.deviation - after.deviation) < 0.01, (before, after)


@given('"{one}" and "{other}" serve another image instead')
def serve_other(context: Context, one: str, other: str) -> None:
    step = StepSpec(
        1,
        Size(2_000, 2**20, 0),
        long_running=True,
        image="other",
        target_ms=18,
    )
    for number, name in enumerate((one, other)):
        service_leaves(context, name)
        job_id = f"{number:015d}c"
        add_job(context.leader, job_id, step)
        task = context.leader.find_task(f"{job_id}.0.0.0")
        ledger = context.leader.vms[name]
        task.claim(ledger.instance, 1)
        ledger.claims[task.task_id] = task


@when("another service task is submitted")
def further_service(context: Context) -> None:
    context.job_id = "d" * 16
    step = StepSpec(
        1, Size(2_000, 2**20, 0), long_running=True, image="svc", target_ms=18
    )
    add_job(context.leader, context.job_id, step)
    context.leader.tick(context.now_s, WALL_MS)


@then('it is claimed on "{vm}"')
def one_claimed_on(context: Context, vm: str) -> None:
    claimed_on(context, vm)


@given(
    'a pace controller with an estimate "{image}" of {weight:g}'
    " with deviation {deviation:g}"
)
def uncertain_controller(
    context: Context, image: str, weight: float, deviation: float
) -> None:
    context.pace_controller = PaceController()
    context.pace_controller.update_estimates(
        (PairEstimate("svc", image, weight, deviation, 20.0),)
    )
    context.now_s = 10.0
    context.paces = {}
    context.sent = []


@when(
    "a service has a tail latency of {tail:d} ms of {target:d}"
    ' beside 2 runs of "{image}"'
)
def serve_two(context: Context, tail: int, target: int, image: str) -> None:
    assert target == TARGET_MS
    _poll(context, 5.0, [])
    running = [RunningTask("service", 1, "", 100, float(tail))]
    traits = {"service": TaskTraits("service", "svc", 2_000, TARGET_MS, False)}
    for run in ("first", "second"):
        running.append(RunningTask(run, 1, "", 10, 1_000.0))
        traits[run] = TaskTraits(run, image, 1_000, 0, True)
    context.now_s += 1.0
    context.changes = context.pace_controller.on_status(
        tuple(running), traits, VM_MILLICORES, context.now_s
    )


@then('no run of "{image}" is throttled')
def none_throttled(context: Context, image: str) -> None:
    del image
    slowed = [change for change in context.changes if change[2] < 100]
    assert not slowed, slowed
