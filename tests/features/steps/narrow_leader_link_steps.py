from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from unittest import mock

from behave import given
from behave import then
from behave import when
from platform_path_steps import run
from platform_path_steps import wait_until
from silent_store_steps import ProxiedStoreDeployment

from yuccapoint.cell import cell_records
from yuccapoint.cell.occurrence_state import WorkerInstance
from yuccapoint.cell.queue_rules import QueueRules
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.cell.submission import Submission
from yuccapoint.cell.uncommitted_changes import UncommittedChanges
from yuccapoint.cell.vm_ledger import VmLedger
from yuccapoint.job.size import Size
from yuccapoint.process.steady_clock import steady_s

if TYPE_CHECKING:
    from behave.runner import Context

TOPIC = "keyed.cell"
BYTES_PER_MBIT = 125_000
FIXED_TIME_S = 1.0
# Time for the appends under way, in multiples of what the link needs.
GIVE_UP_RATIO = 3.0


@given("a leader of {jobs:d} jobs that appends over a link of {mbit:d} Mbit/s")
def make_leader(context: Context, jobs: int, mbit: int) -> None:
    context.bytes_per_s = mbit * BYTES_PER_MBIT
    step = StepSpec(1, Size(300, 2**20, 0), 1_500)

    async def start() -> None:
        deployment = ProxiedStoreDeployment(1)
        context.deployment = deployment
        context.cleanups.append(deployment.close)
        for number in range(jobs):
            job = Submission(
                job_id=f"{number:016x}",
                queue=QueueRules("q", "pool", max_attempts=3),
                payload="work",
                steps=(step,),
            )
            key = cell_records.SUBMISSION + job.job_id
            deployment.store.put(TOPIC, key, cell_records.encode(job))
        assert await wait_until(
            lambda: (
                deployment.leader() is not None
                and len(deployment.leader().leader.jobs) == jobs
            ),
            10,
        )
        proxy = deployment.store_proxy
        proxy.request_bytes_per_s = context.bytes_per_s

    run(context, start())


@when("all jobs change by {kb:d} kB each")
def change_jobs(context: Context, kb: int) -> None:
    leader = context.deployment.leader().leader

    async def change() -> None:
        context.began_s = time.monotonic()
        for job in leader.jobs.values():
            for occurrence in job.occurrences.values():
                occurrence.tasks[0].checkpoint = "x" * (kb * 1_000)
                leader.mark_dirty(occurrence)

    run(context, change())
    context.changed_bytes = len(leader.jobs) * kb * 1_000


@then("the leader may grant leases until all changes are stored")
def grants_throughout(context: Context) -> None:
    store = context.deployment.store
    entry = context.deployment.entries[0]
    election = entry._leader_election
    term = election.term
    needed_s = context.changed_bytes / context.bytes_per_s
    until_s = context.began_s + GIVE_UP_RATIO * needed_s + FIXED_TIME_S
    jobs = len(entry.leader.jobs)

    def stored() -> int:
        newest = store._newest.get(TOPIC, {})
        return sum(
            key.startswith(cell_records.PROGRESS) and len(value) > 1_000
            for key, (_, value) in newest.items()
        )

    async def watch() -> float:
        lapsed_s = 0.0
        seen_s = time.monotonic()
        while stored() < jobs and time.monotonic() < until_s:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            if not election.may_grant(steady_s()) or election.term != term:
                lapsed_s += now_s - seen_s
            seen_s = now_s
        return lapsed_s

    lapsed_s = run(context, watch())
    context.took_s = time.monotonic() - context.began_s
    assert stored() == jobs, (
        f"{stored()} of {jobs} stored after {context.took_s:.1f} s,"
        f" no lease for {lapsed_s:.2f} s"
    )
    assert not lapsed_s, (
        f"no lease for {lapsed_s:.2f} s of {context.took_s:.1f} s"
    )


@then("that took no more than {ratio:g} times the time that the link needs")
def took_no_longer(context: Context, ratio: float) -> None:
    needed_s = context.changed_bytes / context.bytes_per_s
    assert context.took_s <= ratio * needed_s + FIXED_TIME_S, context.took_s


@when("all jobs change by {kb:d} kB each, with a claim and a run end")
def change_with_claims(context: Context, kb: int) -> None:
    leader = context.deployment.leader().leader
    instance = WorkerInstance("vm-0", "i-0", 1)
    vm = VmLedger("vm-0", "127.0.0.1:1", 0.0)
    vm.applied_end_number = 1
    changes = UncommittedChanges()
    for job in leader.jobs.values():
        for occurrence in job.occurrences.values():
            task = occurrence.tasks[0]
            task.checkpoint = "x" * (kb * 1_000)
            task.claim(instance, 1)
            changes.add(occurrence)
            changes.add_claim(task, 1)
    context.batches = []
    with mock.patch.object(VmLedger, "instance", instance):
        while True:
            batch = changes.collect([vm])
            if not batch.records:
                break
            context.batches.append(batch)
    context.claimed = len(leader.jobs)


@then("each claim comes with the batch that stores it")
def claims_are_stored(context: Context) -> None:
    found = 0
    for batch in context.batches:
        stored = {key for key, _ in batch.records}
        claimed = {
            cell_records.progress_key(
                task.step.occurrence.job.submission.job_id,
                task.step.occurrence.number,
            )
            for task, _ in batch.claims
        }
        assert claimed == stored, (claimed, stored)
        found += len(claimed)
    assert found == context.claimed, found


@then("the run end is acknowledged with the last of several batches")
def end_is_acknowledged_last(context: Context) -> None:
    counts = [len(batch.end_acks) for batch in context.batches]
    assert len(counts) > 1
    assert counts == [0] * (len(counts) - 1) + [1], counts
