from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from yuccapoint.bench.batch_workload import make_pool
from yuccapoint.bench.batch_workload import POOL
from yuccapoint.job.job import Job
from yuccapoint.job.job_board import JobBoard
from yuccapoint.job.records import EntryLapsed
from yuccapoint.job.records import EntryLeft
from yuccapoint.job.records import EntryRenewed
from yuccapoint.job.records import JobClaimed
from yuccapoint.job.records import JobReleased
from yuccapoint.job.records import JobSubmitted
from yuccapoint.job.records import VmAdopted
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

ENTRY = "a@1"


def apply(context: Context, record: object) -> str:
    context.stamp_ms += 1
    return context.board.apply(record, context.stamp_ms)


def claim(context: Context, job_id: str, vm: str) -> int:
    if job_id not in context.board.jobs:
        job = Job(
            job_id=job_id,
            team="t",
            customer="c",
            job_class="k",
            pool=POOL,
            size=Size(100, 1, 0),
            run_time_s=1.0,
        )
        assert not apply(context, JobSubmitted(job))
    attempt = context.board.jobs[job_id].attempt + 1
    record = JobClaimed(job_id, attempt, vm, 1, ENTRY, "test")
    refusal = apply(context, record)
    assert not refusal, refusal
    return attempt


def fail(context: Context, job_id: str, vm: str) -> None:
    attempt = claim(context, job_id, vm)
    record = JobReleased(job_id, attempt, 1, "exit code 1", "", True)
    assert not apply(context, record)


@given('a board on which entry "a@1" leads {count:d} VMs')
def given_board(context: Context, count: int) -> None:
    pool = make_pool("spread")
    context.board = JobBoard(lambda _: pool)
    context.stamp_ms = 1_000
    apply(context, EntryRenewed(ENTRY))
    for number in range(count):
        apply(context, VmAdopted(f"vm-{number}", 1, ENTRY, POOL))


@when('jobs "{jobs}" fail on "{vm}"')
def jobs_fail(context: Context, jobs: str, vm: str) -> None:
    for job_id in jobs.split():
        fail(context, job_id, vm)


@when('job "{job_id}" fails on "{vms}"')
def job_fails(context: Context, job_id: str, vms: str) -> None:
    for vm in vms.split():
        fail(context, job_id, vm)


@when('job "{job_id}" fails {count:d} times on "{vm}"')
def job_fails_often(
    context: Context, job_id: str, count: int, vm: str
) -> None:
    for _ in range(count):
        fail(context, job_id, vm)


@when('job "{job_id}" runs on "{vm}" and entry "{entry}" leaves')
def entry_leaves(context: Context, job_id: str, vm: str, entry: str) -> None:
    claim(context, job_id, vm)
    assert not apply(context, EntryLeft(entry))
    context.left_ms = context.stamp_ms


@then('job "{job_id}" has {count:d} own failures')
def own_failures(context: Context, job_id: str, count: int) -> None:
    found = context.board.jobs[job_id].failed_vms
    assert len(found) == count, found


@then('job "{job_id}" is "{state}" and its last step contains "{text}"')
def job_state(context: Context, job_id: str, state: str, text: str) -> None:
    entry = context.board.jobs[job_id]
    assert entry.state.value == state, entry.state
    assert text in entry.steps[-1].text, entry.steps[-1].text


@then(
    'the lapse of "{entry}" is refused after {early_s:d} s '
    "and accepted after {late_s:d} s"
)
def lapse(context: Context, entry: str, early_s: int, late_s: int) -> None:
    record = EntryLapsed(entry)
    early_ms = context.left_ms + early_s * 1000
    assert context.board.apply(record, early_ms)
    late_ms = context.left_ms + late_s * 1000
    assert not context.board.apply(record, late_ms)


@then('the renewal of "{entry}" is refused')
def renewal_refused(context: Context, entry: str) -> None:
    assert apply(context, EntryRenewed(entry))
