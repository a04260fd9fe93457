from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import mock

from behave import given
from behave import then
from behave import when
from lost_with_leader_steps import JOBS
from lost_with_leader_steps import STEP

from cell_world.store_client_model import StoreClientModel
from cell_world.worker_model import WorkerModel
from cell_world.world import World

if TYPE_CHECKING:
    from behave.runner import Context

    from yuccapoint.connection.stored_page import StoredPage

CANCEL_S = 4.0
STOP_TIMEOUT_S = 0.2
# The checks of the cell run at intervals.
CHECK_INTERVAL_S = 0.1
GROWTH_STEP_S = 0.1
WRITE_STEP_S = 0.04


def _running(world: World, job_id: str) -> set[str]:
    return {
        task_id
        for worker in world.workers
        for task_id in worker.running
        if task_id.startswith(job_id)
    }


@when("the leader's reads get no answer for {seconds:d} s")
def lose_reads(context: Context, seconds: int) -> None:
    for _, world in context.worlds:
        (leader,) = [e for e in world.entries if e.leader is not None]
        client = leader.store_client
        client.reads_lost = True
        world.after(
            seconds, lambda client=client: setattr(client, "reads_lost", False)
        )


def _reader(world: World):
    return next(e for e in world.entries if not e.store_client.reads_lost)


@when("another entry accepts the cancellation of a job {seconds:f} s later")
def cancel_job(context: Context, seconds: float) -> None:
    context.cancelled = {}
    for seed, world in context.worlds:
        world.run(seconds)
        job_id = next(j for j in world.oracle.jobs if _running(world, j))
        context.cancelled[seed] = job_id
        job = world.oracle.jobs[job_id]
        world.oracle.cancels_sent.add(job_id)
        _reader(world).cancel(
            job, lambda result, w=world, j=job: w._note_cancel(j, result)
        )


@then("no task of the job runs after 4 s and the time of a stop")
def none_runs(context: Context) -> None:
    late = []
    for seed, world in context.worlds:
        job_id = context.cancelled[seed]
        while job_id not in world.oracle.cancelled_at_s:
            world.run(CHECK_INTERVAL_S)
        stop_s = max(worker.stop_takes_s for worker in world.workers)
        acked_s = world.oracle.cancelled_at_s[job_id]
        world.run(acked_s + CANCEL_S + stop_s + STOP_TIMEOUT_S - world.now_s)
        if _running(world, job_id):
            late.append(seed)
    assert not late, f"runs on with seeds {late}"


@when("another entry accepts a job {seconds:f} s later")
def submit_job(context: Context, seconds: float) -> None:
    context.submitted = {}
    for seed, world in context.worlds:
        world.run(seconds)
        reader = _reader(world)
        others, world.entries[:] = list(world.entries), [reader]
        # Some random payloads fail at once.
        job_id = world.submit(steps=(STEP,), payload="sound")
        context.submitted[seed] = job_id
        world.entries[:] = others


@then("all tasks of the job run within {seconds:d} s")
def all_run(context: Context, seconds: int) -> None:
    late = []
    for seed, world in context.worlds:
        job_id = context.submitted[seed]
        world.run(seconds)
        if len(_running(world, job_id)) < STEP.tasks:
            late.append(seed)
    assert not late, f"waits with seeds {late}"


@given(
    "{count:d} cells of {vms:d} VMs and {entries:d} entries that work on"
    " long-running jobs"
)
def make_cells(context: Context, count: int, vms: int, entries: int) -> None:
    context.worlds = [
        (seed, World(seed, vms, entries, lasting_only=True))
        for seed in range(1, count + 1)
    ]
    for _, world in context.worlds:
        world.run(3.0)
        for _ in range(JOBS):
            world.submit(steps=(STEP,))
        world.run(8.0)


def _leaders(context: Context) -> list[tuple[str, int]]:
    return [
        (entry.name, entry.leader.term)
        for _, world in context.worlds
        for entry in world.entries
        if entry.leader is not None
    ]


@when("others write records for {seconds:d} s")
def write_records(context: Context, seconds: int) -> None:
    for _, world in context.worlds:
        for _ in range(round(seconds / WRITE_STEP_S)):
            world.store.append([("x", b"x")])
            world.run(WRITE_STEP_S)


@then("each cell has the same leader and term as before")
def same_leaders(context: Context) -> None:
    assert _leaders(context) == context.leaders_before, _leaders(context)


@when("the reads of all entries get no answer for {seconds:d} s")
def lose_all_reads(context: Context, seconds: int) -> None:
    _count_lapses(context)
    context.leaders_before = _leaders(context)
    for _, world in context.worlds:
        for entry in world.entries:
            entry.store_client.reads_lost = True
        world.run(seconds)
        for entry in world.entries:
            entry.store_client.reads_lost = False


@when(
    "the log grows by {grows_kb} kB a second for {seconds:d} s, of which links"
    " carry {carried_kb:d}"
)
def grow_log(
    context: Context, grows_kb: str, seconds: int, carried_kb: int
) -> None:
    _count_lapses(context)
    read = StoreClientModel.read

    async def read_slowly(
        client: StoreClientModel, from_offset: int, wait_ms: int
    ) -> StoredPage:
        page = await read(client, from_offset, wait_ms)
        size = sum(len(stored.value or b"") for stored in page.records)
        await asyncio.sleep(size / (carried_kb * 1_000))
        return page

    patch = mock.patch.object(StoreClientModel, "read", read_slowly)
    patch.start()
    context.cleanups.append(patch.stop)
    steps = round(seconds / GROWTH_STEP_S)
    records = round(int(grows_kb) * GROWTH_STEP_S)
    for _, world in context.worlds:
        for _ in range(steps):
            world.store.append([("x", b"x" * 1_000)] * records)
            world.run(GROWTH_STEP_S)


def _count_lapses(context: Context) -> None:
    context.lapsed = []
    end = WorkerModel._end

    def count(worker: WorkerModel, task_id: str, how: str) -> None:
        if how == "lapsed":
            context.lapsed.append((worker.vm, task_id))
        end(worker, task_id, how)

    patch = mock.patch.object(WorkerModel, "_end", count)
    patch.start()
    context.cleanups.append(patch.stop)


@then("no run has lapsed")
def none_lapsed(context: Context) -> None:
    assert not context.lapsed, context.lapsed
