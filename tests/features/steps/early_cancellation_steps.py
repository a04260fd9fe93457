from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import mock

from behave import given
from behave import then
from behave import when
from cell_leader_steps import make_leader
from platform_path_steps import call
from platform_path_steps import JOB_ID
from platform_path_steps import kill_leader
from platform_path_steps import run

from yuccapoint.cell import cell_records
from yuccapoint.cell.cell_records import Cancellation
from yuccapoint.cell.cell_view import CellView
from yuccapoint.cell.queue_address import QueueAddress
from yuccapoint.cell.queue_rules import QueueRules
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.cell.submission import Submission
from yuccapoint.job.size import Size
from yuccapoint.process import cell_job_gateway

if TYPE_CHECKING:
    from behave.runner import Context

SUBMISSION_KEY = cell_records.SUBMISSION + JOB_ID
ADDRESS = QueueAddress("example.org", "/q/")
EARLY_KEY = f"{cell_records.CANCELLATION}{JOB_ID}.0"


@when(
    "the store executes appends of the job {late_s:d} s late"
    " and does not answer"
)
def lose_appends(context: Context, late_s: int) -> None:
    context.deployment.store.late_key = SUBMISSION_KEY
    context.deployment.store.late_s = float(late_s)


@when("the store answers again")
def answer_again(context: Context) -> None:
    context.deployment.store.late_key = ""


@when("a caller cancels the job at the {which} entry, and {change}")
def cancel_and_change(context: Context, which: str, change: str) -> None:
    entry = ("same", "other").index(which)
    run(context, call(context, entry, "DELETE", f"/q/{JOB_ID}", b""))
    if change == "the leader is killed":
        kill_leader(context)
    elif change == "the history expires":
        context.deployment.store.compact("keyed.cell")
    else:
        assert change == "nothing else happens", change


@then("none of its tasks was started")
def none_started(context: Context) -> None:
    run(context, asyncio.sleep(1.0))
    started = [
        task
        for worker in context.deployment.workers
        for task, _ in worker.started
    ]
    assert not started, started


@given("a limit of {count:d} cancellations of unknown jobs")
def limit_cancellations(context: Context, count: int) -> None:
    patch = mock.patch.object(
        cell_job_gateway, "MAX_EARLY_CANCELLATIONS", count
    )
    patch.start()
    context.cleanups.append(patch.stop)


@when("callers cancel {count:d} unknown jobs")
def cancel_unknown(context: Context, count: int) -> None:
    for number in range(count):
        path = f"/q/{number:016x}"
        run(context, call(context, 0, "DELETE", path, b""))
        assert context.response.status == 410, context.response.status


@given("a stored cancellation of an unknown job")
def stored_cancellation(context: Context) -> None:
    context.view = CellView()
    record = Cancellation(JOB_ID, 1, ADDRESS, "q")
    context.view.apply(EARLY_KEY, record, 1)


@when('the job of route "{route}" at "{host}" "{prefix}" is stored')
def job_stored(context: Context, route: str, host: str, prefix: str) -> None:
    job = Submission(
        JOB_ID,
        QueueRules(route, "pool"),
        "payload",
        (StepSpec(1, Size(1_000, 2**20, 0)),),
        address=QueueAddress(host, prefix),
    )
    context.view.apply(SUBMISSION_KEY, job, 2)


@then('the job is shown as "{state}" after each order of both records')
def shown_after_each_order(context: Context, state: str) -> None:
    # A load of the store returns the records in the order of their keys.
    job = context.view.find(JOB_ID).submission
    record = Cancellation(JOB_ID, 1, ADDRESS, "q")
    loaded = CellView()
    loaded.apply(SUBMISSION_KEY, job, 2)
    loaded.apply(EARLY_KEY, record, 1)
    for view in (context.view, loaded):
        outcome = view.find(JOB_ID).outcome.name.lower()
        assert outcome == state, outcome


@then("{count:d} cancellation of an unknown job is kept")
def kept(context: Context, count: int) -> None:
    found = context.view.early_cancellations.versions
    assert len(found) == count, found


@then("the keys of both records are dropped")
def keys_dropped(context: Context) -> None:
    keys = {key for key, value in context.dropped if value is None}
    assert {SUBMISSION_KEY, EARLY_KEY} <= keys, keys


@then("only the key of the cancellation is dropped")
def key_dropped(context: Context) -> None:
    assert context.dropped == [(EARLY_KEY, None)], context.dropped
    context.view.apply(EARLY_KEY, None, 3)


@when("a leader drops expired records at {first:d} s and at {then:d} s")
def drop_records(context: Context, first: int, then: int) -> None:
    leader = context.leader
    context.dropped = []
    for now_s in (first, then):
        context.dropped.extend(
            leader.maintenance.expire_records(context.view, float(now_s))
        )


@when("it drops expired records at {now_s:d} s")
def drop_more(context: Context, now_s: int) -> None:
    context.dropped.extend(
        context.leader.maintenance.expire_records(context.view, float(now_s))
    )


@when("the same cancellation is stored again")
def stored_again(context: Context) -> None:
    record = Cancellation(JOB_ID, 2, ADDRESS, "q")
    context.view.apply(EARLY_KEY, record, 2)


@given("a leader without jobs")
def empty_leader(context: Context) -> None:
    context.leader = make_leader(1)
