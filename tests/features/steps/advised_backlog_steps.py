from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import mock

from behave import given
from behave import then
from behave import when
from cell_leader_steps import add_job
from cell_leader_steps import deliver_report
from cell_leader_steps import make_leader
from cell_leader_steps import report
from cell_leader_steps import VALID_MS
from cell_leader_steps import WALL_MS

from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.cell.ticket_cache import TicketCache
from yuccapoint.cell.vm_ledger import VmLedger
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

    from yuccapoint.cell.occurrence_state import WorkerInstance

MAX_QUERIES = 10_000
# Shorter than the pause of the loop that sends the queries.
QUERY_S = 0.000_1


@given("a leader with {vms:d} VMs and {jobs:d} jobs in an advised queue")
def advised_jobs(context: Context, vms: int, jobs: int) -> None:
    context.leader = make_leader(vms)
    context.now_s = 10.0
    context.jobs = jobs
    step = StepSpec(2, Size(1_000, 2**20, 0))
    for number in range(jobs):
        add_job(
            context.leader, f"{number:016x}", step, advice_valid_ms=VALID_MS
        )


@given("the adviser has been queried for all of them")
def query_all(context: Context) -> None:
    asked = _query_until_none(context)
    assert len(asked) >= context.jobs, asked


def _query_until_none(context: Context) -> list[list[WorkerInstance]]:
    queries = context.leader.adviser_queries
    found = []
    nothing_found = 0
    # A call that visits some of the steps only finds nothing, too.
    while nothing_found <= context.jobs:
        context.now_s += QUERY_S
        query = queries.next_query(context.now_s, WALL_MS)
        if query is None:
            nothing_found += 1
            continue
        found.append(query[1])
        assert len(found) < MAX_QUERIES
    return found


@when("the next query is looked for {calls:d} times")
def look_for_query(context: Context, calls: int) -> None:
    context.vm_visits = []
    context.step_visits = []
    for _ in range(calls):
        with (
            mock.patch.object(
                VmLedger,
                "find_obstacle",
                autospec=True,
                side_effect=VmLedger.find_obstacle,
            ) as find_obstacle,
            mock.patch.object(
                TicketCache,
                "to_query",
                autospec=True,
                side_effect=TicketCache.to_query,
            ) as to_query,
        ):
            query = context.leader.adviser_queries.next_query(
                context.now_s, WALL_MS
            )
        assert query is None, query
        context.vm_visits.append(find_obstacle.call_count)
        context.step_visits.append(to_query.call_count)


@when('"{vm}" reports for the first time')
def vm_reports(context: Context, vm: str) -> None:
    deliver_report(context.leader, report(vm, 1), context.now_s)


@when("all jobs are cancelled")
def cancel_all(context: Context) -> None:
    leader = context.leader
    context.steps = [
        job.occurrences[0].steps[0] for job in leader.jobs.values()
    ]
    for job_id in list(leader.jobs):
        leader.on_cancel(job_id, context.now_s)
    while leader.jobs:
        batch = leader.collect_batch()
        assert batch.records
        leader.commit(batch)


@when("the answers expire")
def expire_answers(context: Context) -> None:
    context.now_s += VALID_MS / 1_000
    for vm in context.leader.vms:
        deliver_report(context.leader, report(vm, 2), context.now_s)


@then("each look visited no VM more than once")
def vms_visited_once(context: Context) -> None:
    assert max(context.vm_visits) <= len(context.leader.vms), context.vm_visits


@then("no look visited the workers of more than {limit:d} steps")
def bounded_steps(context: Context, limit: int) -> None:
    assert max(context.step_visits) <= limit, context.step_visits


@then("the last look visited the workers of no step")
def no_step_visited(context: Context) -> None:
    assert not context.step_visits[-1], context.step_visits


@then("no query of an ended job is remembered")
def queries_forgotten(context: Context) -> None:
    leader = context.leader
    instances = [vm.instance for vm in leader.vms.values()]
    for step in context.steps:
        asked = leader.ticket_cache.to_query(step, instances, context.now_s)
        assert asked == instances, asked


@then('the adviser is queried for "{vm}" alone, once for each job')
def queried_for_vm(context: Context, vm: str) -> None:
    asked = _query_until_none(context)
    names = [[instance.vm for instance in query] for query in asked]
    assert names == [[vm]] * context.jobs, names


@then("the adviser is queried for all VMs, once for each job")
def queried_for_all(context: Context) -> None:
    asked = _query_until_none(context)
    counts = [len(query) for query in asked]
    assert counts == [len(context.leader.vms)] * context.jobs, counts
