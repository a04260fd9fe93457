from __future__ import annotations

import time
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
from yuccapoint.cell.cell_messages import RefusedRun
from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.cell_records import Cancellation
from yuccapoint.cell.cell_view import CellView
from yuccapoint.cell.cell_view import JobView
from yuccapoint.cell.claim_planner import ClaimPlanner
from yuccapoint.cell.queue_rules import QueueRules
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.cell.submission import Submission
from yuccapoint.cell.vm_ledger import INITIAL_QUARANTINE_S
from yuccapoint.cell.vm_ledger import MAX_QUARANTINE_S
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

ONE = Size(1_000, 2**20, 0)


def _job_id(name: str) -> str:
    return name.ljust(16, "0")


def _claims(context: Context) -> list[tuple[str, int, str]]:
    return [
        (task.task_id, task.run, vm.name)
        for vm in context.leader.vms.values()
        for task in vm.claims.values()
    ]


@given("a leader with {vms:d} VMs of {processors:d} processors")
def leader(context: Context, vms: int, processors: int) -> None:
    assert processors == 8
    context.leader = make_leader(vms)
    context.now_s = 10.0


@when('a job "{name}" is submitted that is late already')
def late_job(context: Context, name: str) -> None:
    step = StepSpec(2, ONE, 1_000)
    job = add_job(context.leader, _job_id(name), step, objective_ms=100)
    run = context.leader.jobs.pop(job.job_id)
    fields = {f: getattr(job, f) for f in Submission.__struct_fields__}
    fields["accepted_at_ms"] = job.accepted_at_ms - 2_500
    run.submission = Submission(**fields)
    context.leader.jobs[job.job_id] = run


@when(
    'a large job "{large}" and a small job "{small}" are submitted'
    " that can be on time"
)
def two_jobs(context: Context, large: str, small: str) -> None:
    for name, tasks in ((large, 3), (small, 1)):
        step = StepSpec(tasks, ONE, 1_000)
        add_job(
            context.leader,
            _job_id(name),
            step,
            objective_ms=60_000,
            priority=2,
        )


@when('an urgent job "{name}" is submitted')
def urgent_job(context: Context, name: str) -> None:
    step = StepSpec(4, ONE, 1_000)
    add_job(context.leader, _job_id(name), step, objective_ms=60_000)


@when("{jobs:d} jobs of {tasks:d} best-effort tasks are submitted")
def best_effort_jobs(context: Context, jobs: int, tasks: int) -> None:
    for number in range(jobs):
        step = StepSpec(
            tasks, Size(4_000, 2**20, 0), 5_000, best_effort=True, image="f"
        )
        add_job(context.leader, _job_id(f"f{number}"), step)


@given('the VM has failed jobs "{names}" and its quarantine is over')
def after_quarantine(context: Context, names: str) -> None:
    vm = context.leader.vms["vm-0"]
    for name in names.split():
        vm.record_failure(name, context.now_s)
    assert not vm.is_open(context.now_s)
    context.now_s += INITIAL_QUARANTINE_S + 0.1
    deliver_report(context.leader, report("vm-0", 5), context.now_s)
    assert vm.is_open(context.now_s)


@when("a long-running job is submitted")
def long_running_job(context: Context) -> None:
    add_job(context.leader, _job_id("ll"), StepSpec(1, ONE, long_running=True))


@when("{seconds:d} s pass for the VM")
def pass_time(context: Context, seconds: int) -> None:
    assert seconds < MAX_QUARANTINE_S
    context.now_s += seconds
    deliver_report(context.leader, report("vm-0", 9), context.now_s)


@when('"{vm}" refuses all its starts for lack of room')
def refuse(context: Context, vm: str) -> None:
    refused = tuple(
        RefusedRun(task.task_id, task.run, "room")
        for task in context.leader.vms[vm].claims.values()
    )
    deliver_report(
        context.leader, report(vm, 7, refused=refused), context.now_s
    )


@when("a gang of {tasks:d} tasks of 1 processor is submitted")
def gang(context: Context, tasks: int) -> None:
    step = StepSpec(tasks, ONE, 1_000, gang=True)
    add_job(context.leader, _job_id(f"{tasks:02d}"), step)


@then('the tasks were claimed in the order "{names}"')
def order(context: Context, names: str) -> None:
    seen = list(
        dict.fromkeys(task_id[:2] for task_id, _, _ in _claims(context))
    )
    assert seen == names.split(), seen


@then("each of the {jobs:d} jobs has a task claimed")
def each_runs(context: Context, jobs: int) -> None:
    seen = {task_id[:2] for task_id, _, _ in _claims(context)}
    assert len(seen) == jobs, seen


@then("{count:d} task is claimed")
def count_claimed(context: Context, count: int) -> None:
    assert len(_claims(context)) == count, _claims(context)


@then('all tasks are claimed on "{vm}"')
def all_on(context: Context, vm: str) -> None:
    claims = _claims(context)
    assert claims, context.leader.explanations[-1].text
    assert {name for _, _, name in claims} == {vm}, claims


@then("{count:d} tasks are claimed with the same run")
def same_run(context: Context, count: int) -> None:
    claims = _claims(context)
    assert len(claims) == count, len(claims)
    assert len({run for _, run, _ in claims}) == 1, claims


@when(
    "a job is submitted that is due in {due:d} s, {times:d} times,"
    " each {gap:d} s"
)
def scheduled_job(context: Context, due: int, times: int, gap: int) -> None:
    context.job_id = _job_id("sched")
    job = Submission(
        job_id=context.job_id,
        queue=QueueRules("route", "pool"),
        payload="payload",
        steps=(StepSpec(1, ONE, 1_000),),
        repeats=times,
        first_due_ms=WALL_MS + due * 1000,
        interval_ms=gap * 1000,
    )
    context.view = CellView()
    context.view.apply(cell_records.SUBMISSION + job.job_id, job, 0)
    began_s = time.monotonic()
    context.leader.on_job(JobView(job), 10.0)
    context.add_s = time.monotonic() - began_s


@then("it was added within {seconds:f} s")
def added_within(context: Context, seconds: float) -> None:
    assert context.add_s < seconds, context.add_s


@when("the job is cancelled")
def cancel_job(context: Context) -> None:
    context.leader.on_cancel(context.job_id, context.now_s)
    context.leader.commit(context.leader.collect_batch())


@when("the leader plans {seconds:d} s later")
def plan_later(context: Context, seconds: int) -> None:
    # Only the wall clock of the schedule advances.
    context.leader.tick(context.now_s, WALL_MS + seconds * 1000)
    batch = context.leader.collect_batch()
    for offset, (key, value) in enumerate(batch.records, seconds):
        assert value is not None
        record = cell_records.decode(key, value)
        context.view.apply(key, record, offset)
    context.leader.commit(batch)


@when("a new leader loads the stored schedule")
def load_schedule(context: Context) -> None:
    context.leader = CellLeader("e-1", "e-1", 2, context.now_s)
    context.leader.load(context.view, context.now_s)


@when("its task fails for good")
def fail_task(context: Context) -> None:
    ((task_id, run, vm),) = _claims(context)
    ended = EndedRun(1, task_id, run, "failed", "")
    message = report(vm, 30, ends=(ended,))
    deliver_report(context.leader, message, context.now_s)


@when("its cancellation is stored")
def store_cancellation(context: Context) -> None:
    key = cell_records.CANCELLATION + context.job_id
    context.view.apply(key, Cancellation(context.job_id, 0), 900)


@then('the schedule is shown as "{state}"')
def schedule_shown(context: Context, state: str) -> None:
    outcome = context.view.find(context.job_id).outcome
    assert outcome.value == state, outcome


@then("a leader without jobs does not drop it after {seconds:d} s")
def schedule_kept(context: Context, seconds: int) -> None:
    maintenance = CellLeader("e-1", "e-1", 2, 10.0).maintenance
    for now_s in (10.0, 10.0 + seconds):
        assert maintenance.expire_records(context.view, now_s) == []


@then("{count:d} tasks are claimed in all")
def claimed_in_all(context: Context, count: int) -> None:
    assert len(_claims(context)) == count, _claims(context)


@then("the job has all its {count:d} occurrences")
def has_occurrences(context: Context, count: int) -> None:
    found = sorted(context.leader.jobs[context.job_id].occurrences)
    assert found == list(range(count)), found


@then("the leader has dropped the job")
def job_removed(context: Context) -> None:
    assert context.job_id not in context.leader.jobs


def _add_best_effort_job(
    context: Context, name: str, tasks: int, saves: bool
) -> None:
    step = StepSpec(
        tasks,
        ONE,
        4_000,
        best_effort=True,
        saves_progress=saves,
        image="fill",
    )
    add_job(
        context.leader,
        _job_id(name),
        step,
        objective_ms=1_000,
        objective_factor=2.0,
    )


def _run_until_late(context: Context, tasks: int, saves: bool) -> None:
    leader = context.leader
    _add_best_effort_job(context, "1a", tasks, saves)
    leader.tick(context.now_s, WALL_MS)
    leader.commit(leader.collect_batch())
    leader.collect_orders(context.now_s, may_grant=True)
    context.wall_ms = WALL_MS + 8_000
    for sequence in range(17):
        context.now_s += 0.5
        running = tuple(
            RunningTask(task.task_id, task.run, "saved", 20, 500.0)
            for task in leader.vms["vm-0"].claims.values()
        )
        message = report("vm-0", 40 + sequence, running=running)
        deliver_report(leader, message, context.now_s)


@when("a job of {tasks:d} best-effort tasks runs until it is late")
def saving_late_job(context: Context, tasks: int) -> None:
    _run_until_late(context, tasks, True)


@when(
    "a job of {tasks:d} best-effort tasks without checkpoints"
    " runs until it is late"
)
def unsaved_late_job(context: Context, tasks: int) -> None:
    _run_until_late(context, tasks, False)


@when("a job of {tasks:d} best-effort tasks is submitted")
def fresh_job(context: Context, tasks: int) -> None:
    _add_best_effort_job(context, "2b", tasks, True)
    fresh = context.leader.jobs[_job_id("2b")].submission
    fields = {f: getattr(fresh, f) for f in Submission.__struct_fields__}
    fields["accepted_at_ms"] = context.wall_ms
    context.leader.jobs[_job_id("2b")].submission = Submission(**fields)
    context.leader.tick(context.now_s, context.wall_ms)


def _stopped(context: Context) -> list[str]:
    tasks = context.leader.jobs[_job_id("1a")].occurrences[0].tasks
    return [task.task_id for task in tasks if task.stopping]


@then("some runs of the late job are stopped and at least one continues")
def some_stopped(context: Context) -> None:
    context.stopped = _stopped(context)
    tasks = context.leader.jobs[_job_id("1a")].occurrences[0].tasks
    assert 0 < len(context.stopped) < len(tasks), context.stopped


@then("no more runs are stopped than before")
def not_more(context: Context) -> None:
    assert _stopped(context) == context.stopped, _stopped(context)


@then("no run of the late job is stopped")
def none_stopped(context: Context) -> None:
    assert not _stopped(context), _stopped(context)


class CountedPlanner(ClaimPlanner):
    """Counts the ratings of VMs."""

    ratings = 0

    def _cost(self, task, candidate, *, overcommit=False):
        CountedPlanner.ratings += 1
        return super()._cost(task, candidate, overcommit=overcommit)


def _wide_jobs(leader: CellLeader, jobs: int, tasks: int) -> None:
    for number in range(jobs):
        step = StepSpec(tasks, ONE, 1_000, max_per_vm=number % 3)
        add_job(leader, _job_id(f"{number:x}d"), step)


def _planned(leader: CellLeader, planner: type[ClaimPlanner]) -> list:
    planned = planner(
        leader.vms.values(),
        leader.ticket_cache,
        leader.interference,
        10.0,
        WALL_MS,
    ).plan(leader.jobs.values())
    return [(task.task_id, vm.name) for task, vm in planned]


@when(
    "{jobs:d} jobs of {tasks:d} tasks are submitted and planned"
    " while ratings are counted"
)
def count_ratings(context: Context, jobs: int, tasks: int) -> None:
    context.steps, context.tasks = jobs, tasks
    _wide_jobs(context.leader, jobs, tasks)
    CountedPlanner.ratings = 0
    context.planned = _planned(context.leader, CountedPlanner)


@then("{count:d} tasks are claimed as a search of all VMs for each task does")
def same_as_search(context: Context, count: int) -> None:
    assert len(context.planned) == count, len(context.planned)
    searched = make_leader(len(context.leader.vms))
    _wide_jobs(searched, context.steps, context.tasks)
    for job in searched.jobs.values():
        for task in job.occurrences[0].tasks:
            # A task that failed is placed by a search.
            task.failed_on.add("vm-gone")
    assert _planned(searched, ClaimPlanner) == context.planned


@then("each step took at most two ratings of {vms:d} VMs and one a task")
def few_ratings(context: Context, vms: int) -> None:
    # The first task of an idle job is placed by a search of its own.
    bound = context.steps * (2 * vms + context.tasks)
    assert CountedPlanner.ratings <= bound, CountedPlanner.ratings


@then("a report that only renews the lease allows no decision")
def renewal_only(context: Context) -> None:
    running = tuple(
        RunningTask(task_id, run, "", 0, 0.0)
        for task_id, run, _ in _claims(context)
    )
    message = report("vm-0", 20, running=running)
    assert not context.leader.on_report(message, context.now_s)


@then("a report with an end allows one")
def end_reported(context: Context) -> None:
    task_id, run, _ = _claims(context)[0]
    ended = EndedRun(1, task_id, run, "done", "")
    message = report("vm-0", 21, ends=(ended,))
    assert context.leader.on_report(message, context.now_s)
