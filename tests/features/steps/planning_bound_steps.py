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
from yuccapoint.cell.cell_messages import EndedRun
from yuccapoint.cell.occurrence_state import Phase
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from collections.abc import Iterator

    from behave.runner import Context

GIB = 2**30
VM_MILLICORES = 8_000
ROUND_S = 0.02
FIT_PREFIX = "f"


@given("a leader that plans for {vms:d} VMs of 8 processors")
def make_vms(context: Context, vms: int) -> None:
    context.leader = make_leader(vms)
    context.now_s = 10.0
    context.jobs = []
    context.ratings = []
    context.claims = []


@given("{jobs:d} jobs of {tasks:d} tasks of {cpu:d} processor wait")
def waiting_jobs(context: Context, jobs: int, tasks: int, cpu: int) -> None:
    for _ in range(jobs):
        job_id = f"{FIT_PREFIX}{len(context.jobs):015x}"
        # Earlier ones have less work left, and are therefore more urgent.
        size = Size(cpu * 1_000, 2**20, 0)
        step = StepSpec(tasks, size, 1_000 + len(context.jobs))
        add_job(context.leader, job_id, step)
        context.jobs.append(job_id)


@given(
    "a gang of {tasks:d} tasks of {cpu:d} processors, {per_vm:d} on a VM at"
    " most, waits"
)
def waiting_gang(context: Context, tasks: int, cpu: int, per_vm: int) -> None:
    size = Size(cpu * 1_000, 2**20, 0)
    step = StepSpec(tasks, size, 1_000, gang=True, max_per_vm=per_vm)
    add_job(context.leader, "0" * 16, step)


@then("{count:d} tasks were claimed")
def claimed_count(context: Context, count: int) -> None:
    claimed = [task for claims in context.claims for task in claims]
    assert len(claimed) == count, len(claimed)


@given("{jobs:d} urgent jobs of sizes that fit no VM wait")
def misfits(context: Context, jobs: int) -> None:
    for number in range(jobs):
        # None of them is as large as another in both dimensions.
        size = Size(VM_MILLICORES + 1 + number, (64 + jobs - number) * GIB, 0)
        step = StepSpec(1, size, 1)
        add_job(context.leader, f"{number:016x}", step)


@when("the leader plans {rounds:d} rounds of {ratings} ratings")
def plan_rounds(context: Context, rounds: int, ratings: str) -> None:
    leader = context.leader
    leader.planning_pass.max_ratings = int(ratings)
    for _ in range(rounds):
        context.now_s += ROUND_S
        leader.tick(context.now_s, WALL_MS)
        context.ratings.append(leader.planning_pass.ratings)
        batch = leader.collect_batch()
        context.claims.append([task.task_id for task, _ in batch.claims])
        leader.commit(batch)
        leader.collect_orders(context.now_s, may_grant=True)


@when("the claimed run ends")
def end_run(context: Context) -> None:
    vm = context.leader.vms["vm-0"]
    (task,) = vm.claims.values()
    end = EndedRun(1, task.task_id, task.run, "done", "")
    message = report("vm-0", 100, ends=(end,))
    deliver_report(context.leader, message, context.now_s)
    context.leader.commit(context.leader.collect_batch())


class _Unsearchable(dict):
    """Changes that are looked up by their key only."""

    def __iter__(self) -> Iterator[str]:
        raise AssertionError("all changes are visited")


@when("all claimed runs end and a batch with half of the ends is stored")
def end_all_runs(context: Context) -> None:
    leader = context.leader
    for number, (name, vm) in enumerate(leader.vms.items()):
        ends = tuple(
            EndedRun(index, task.task_id, task.run, "done", "")
            for index, task in enumerate(vm.claims.values(), 1)
        )
        message = report(name, 200 + number, ends=ends)
        deliver_report(leader, message, context.now_s)
    changes = leader._changes
    keys = list(changes._occurrences)
    left = {key: changes._occurrences.pop(key) for key in keys[::2]}
    batch = leader.collect_batch()
    context.stored_jobs = {
        key.removeprefix(cell_records.PROGRESS).partition(".")[0]
        for key, _ in batch.records
    }
    changes._occurrences = _Unsearchable(left)
    leader.commit(batch)


@then("the ended jobs of the batch are gone, and nothing else was visited")
def ended_jobs_gone(context: Context) -> None:
    left = set(context.jobs) - context.stored_jobs
    assert len(left) == len(context.jobs) / 2, left
    assert set(context.leader.jobs) == left, context.leader.jobs


@then("no round took more than {limit:d} ratings")
def bounded_ratings(context: Context, limit: int) -> None:
    assert max(context.ratings) <= limit, context.ratings


@then("the last round took no more than {limit:d} ratings")
def bounded_last_round(context: Context, limit: int) -> None:
    assert context.ratings[-1] <= limit, context.ratings


@then("the rounds claimed {first:d}, {second:d} and {third:d} tasks")
def claims_by_round(
    context: Context, first: int, second: int, third: int
) -> None:
    counts = [len(claims) for claims in context.claims]
    assert counts == [first, second, third], counts


@then("all tasks were claimed, those of earlier jobs first")
def claimed_in_order(context: Context) -> None:
    claimed = [task for claims in context.claims for task in claims]
    jobs = list(dict.fromkeys(task.partition(".")[0] for task in claimed))
    assert jobs == context.jobs, jobs
    _check_all_claimed(context)


@then("all tasks of jobs that fit were claimed")
def fitting_claimed(context: Context) -> None:
    _check_all_claimed(context)


def _check_all_claimed(context: Context) -> None:
    waiting = [
        task.task_id
        for job_id in context.jobs
        for task in context.leader.jobs[job_id].occurrences[0].tasks
        if task.phase is Phase.WAITING
    ]
    assert not waiting, waiting


@then("{count:d} jobs have been claimed")
def jobs_claimed(context: Context, count: int) -> None:
    claimed = {task for claims in context.claims for task in claims}
    assert len(claimed) == count, claimed
