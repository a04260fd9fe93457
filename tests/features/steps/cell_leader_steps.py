from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from yuccapoint.cell import cell_records
from yuccapoint.cell.cell_leader import CellLeader
from yuccapoint.cell.cell_messages import VmReport
from yuccapoint.cell.cell_messages import WorkerReport
from yuccapoint.cell.cell_records import Member
from yuccapoint.cell.cell_view import CellView
from yuccapoint.cell.cell_view import JobView
from yuccapoint.cell.occurrence_state import OccurrenceState
from yuccapoint.cell.occurrence_state import Outcome
from yuccapoint.cell.occurrence_state import TaskState
from yuccapoint.cell.occurrence_state import WorkerInstance
from yuccapoint.cell.queue_rules import QueueRules
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.cell.submission import Submission
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

WALL_MS = 1_000_000
VALID_MS = 10_000


def report(vm: str, sequence: int, **changes) -> VmReport:
    worker = WorkerReport(
        instance=WorkerInstance(vm, f"i-{vm}", 1),
        pool="pool",
        capacity=changes.pop("capacity", Size(8_000, 2**35, 0)),
        labels=("a", "r1"),
        draining=False,
        remaining_ms=0,
        lease_expired=False,
    )
    fields = {
        "vm": vm,
        "address": vm,
        "incarnation": 1,
        "sequence": sequence,
        "term": 1,
        "worker": worker,
        "runs_listed": True,
        "running": (),
        "ends": (),
        "refused": (),
        "pending": (),
    }
    return VmReport(**{**fields, **changes})


def deliver_report(
    leader: CellLeader, message: VmReport, now_s: float
) -> None:
    """Apply a report and answer it with a lease, as a round does."""
    leader.on_report(message, now_s)
    leader.collect_orders(now_s, may_grant=True)


def make_leader(vms: int) -> CellLeader:
    leader = CellLeader("e-0", "e-0", 1, 0.0)
    for number in range(vms):
        leader.on_member(Member(f"vm-{number}", f"vm-{number}", 1))
        deliver_report(leader, report(f"vm-{number}", 1), 10.0)
    return leader


def add_job(
    leader: CellLeader, job_id: str, step: StepSpec, **rules
) -> Submission:
    job = Submission(
        job_id=job_id,
        queue=QueueRules("route", "pool", **rules),
        payload="payload",
        steps=(step,),
        accepted_at_ms=WALL_MS,
    )
    leader.on_job(JobView(job), 10.0)
    return job


@given(
    "a leader with {vms:d} VMs and a job of {tasks:d} tasks"
    " in an advised queue"
)
def advised_job(context: Context, vms: int, tasks: int) -> None:
    context.leader = make_leader(vms)
    context.now_s = 10.0
    step = StepSpec(tasks, Size(1_000, 2**20, 0))
    add_job(context.leader, "0" * 16, step, advice_valid_ms=VALID_MS)


@when('the adviser allows "{vm}" with ticket "{ticket}"')
def allow_worker(context: Context, vm: str, ticket: str) -> None:
    query = context.leader.adviser_queries.next_query(context.now_s, WALL_MS)
    assert query is not None
    step, instances = query
    tickets = {f"i-{vm}": ticket}
    context.leader.adviser_queries.on_advice(
        step, instances, tickets, context.now_s
    )


@when("{seconds:d} s pass")
def time_passes(context: Context, seconds: int) -> None:
    context.now_s += seconds
    for number, vm in enumerate(context.leader.vms):
        deliver_report(context.leader, report(vm, 2 + number), context.now_s)


@when("the leader plans")
def plan(context: Context) -> None:
    context.leader.tick(context.now_s, WALL_MS)
    context.leader.commit(context.leader.collect_batch())


@when("the leader queries the adviser")
def query_adviser(context: Context) -> None:
    context.query = context.leader.adviser_queries.next_query(
        context.now_s, WALL_MS
    )
    assert len(context.query[1]) == len(context.leader.vms)


@then("a second query names no worker")
def no_second_query(context: Context) -> None:
    assert (
        context.leader.adviser_queries.next_query(context.now_s, WALL_MS)
        is None
    )


@then("after a lost answer the same workers are queried again")
def query_again(context: Context) -> None:
    step, instances = context.query
    context.leader.adviser_queries.on_advice(
        step, instances, None, context.now_s
    )
    again = context.leader.adviser_queries.next_query(context.now_s, WALL_MS)
    assert again is not None
    assert set(again[1]) == set(instances)


@then("no task is claimed")
def none_claimed(context: Context) -> None:
    for vm in context.leader.vms.values():
        assert not vm.claims, vm.claims


@then('all claims are on "{vm}" and their starts carry "{ticket}"')
def claimed_with_ticket(context: Context, vm: str, ticket: str) -> None:
    claimed = {n: len(v.claims) for n, v in context.leader.vms.items()}
    assert sum(claimed.values()) == claimed[vm] == 2, claimed
    due = context.leader.collect_orders(context.now_s, may_grant=True)
    orders = {ledger.name: message for ledger, message in due}
    assert [s.ticket for s in orders[vm].starts] == [ticket] * 2


@given("a leader with {vms:d} VMs and a view with one ended and one open job")
def leader_and_view(context: Context, vms: int) -> None:
    context.leader = make_leader(vms)
    context.view = CellView()
    step = StepSpec(1, Size(1_000, 2**20, 0))
    for offset, job_id in enumerate(("e" * 16, "0" * 16)):
        job = add_job(context.leader, job_id, step)
        key = cell_records.SUBMISSION + job_id
        context.view.apply(key, job, offset)
    del context.leader.jobs["e" * 16]
    state = OccurrenceState(Outcome.COMPLETED, [], [[TaskState()]])
    context.view.apply(cell_records.progress_key("e" * 16, 0), state, 2)
    context.dropped = []


@when("the leader drops expired jobs at {first:d} s and at {then:d} s")
def drop_twice(context: Context, first: int, then: int) -> None:
    for now_s in (first, then):
        context.dropped.extend(
            context.leader.maintenance.expire_ended_jobs(
                context.view, float(now_s)
            )
        )


@when("the leader drops expired jobs at {now_s:d} s")
def drop_once(context: Context, now_s: int) -> None:
    context.dropped.extend(
        context.leader.maintenance.expire_ended_jobs(
            context.view, float(now_s)
        )
    )


@then("no key was dropped")
def nothing_dropped(context: Context) -> None:
    assert not context.dropped, context.dropped


@then("only the keys of the ended job are dropped")
def ended_dropped(context: Context) -> None:
    keys = {key for key, value in context.dropped if value is None}
    assert keys == {f"p:{'e' * 16}.0", f"c:{'e' * 16}", f"s:{'e' * 16}"}


@then("the view no longer holds the ended job")
def job_dropped(context: Context) -> None:
    for offset, (key, _) in enumerate(context.dropped):
        context.view.apply(key, None, 10 + offset)
    assert context.view.find("e" * 16) is None
    assert context.view.find("0" * 16) is not None
