from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from yuccapoint.cell import lease_bounds
from yuccapoint.cell.cell_leader import CellLeader
from yuccapoint.cell.cell_messages import VmReport
from yuccapoint.cell.cell_messages import WorkerReport
from yuccapoint.cell.cell_records import Leadership
from yuccapoint.cell.cell_view import JobView
from yuccapoint.cell.former_grants import FormerGrants
from yuccapoint.cell.former_leadership import FormerLeadership
from yuccapoint.cell.occurrence_state import WorkerInstance
from yuccapoint.cell.queue_rules import QueueRules
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.cell.submission import Submission
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

JOB_ID = "1" * 16
STEP = StepSpec(3, Size(300, 2**20, 0), 1_500, long_running=True)
# Rounding, and the difference of clocks that the next leader allows for.
TOLERANCE_S = 0.3


def _report(context: Context) -> None:
    context.sequence += 1
    context.leader.on_report(
        VmReport(
            vm="vm-0",
            address="vm-0",
            incarnation=1,
            sequence=context.sequence,
            term=2,
            worker=WorkerReport(
                instance=WorkerInstance("vm-0", "i-0", 5),
                pool="pool",
                capacity=Size(4_000, 2**34, 0),
                labels=(),
                draining=False,
                remaining_ms=0,
                lease_expired=False,
            ),
            runs_listed=True,
            running=(),
            ends=(),
            refused=(),
            pending=(),
            heard_orders=0,
        ),
        context.now_s,
    )


def _orders(context: Context):
    vm = context.leader.vms["vm-0"]
    vm.orders_due = True
    return context.leader.collect_orders(context.now_s, may_grant=True)[0][1]


def _is_renewal_due(context: Context) -> bool:
    leader = context.leader
    return leader.silent_vms.has_changed(leader.vms.values(), context.now_s)


def _name_silent(context: Context) -> tuple[tuple[str, int], ...]:
    leader = context.leader
    return leader.silent_vms.collect(leader.vms.values(), context.now_s)


@given("a leader whose VM has claims and is silent for {silent_s:f} s")
def leader_with_silent_vm(context: Context, silent_s: float) -> None:
    context.now_s = 50.0
    context.sequence = 0
    former_grants = FormerGrants(context.now_s - 60.0)
    context.leader = CellLeader("e-1", "e-1", 2, context.now_s, former_grants)
    job = Submission(JOB_ID, QueueRules("route", "pool"), "", (STEP,))
    context.leader.on_job(JobView(job), context.now_s)
    _report(context)
    context.leader.tick(context.now_s, 0)
    assert context.leader.vms["vm-0"].claims
    assert _orders(context).lease_ms
    context.granted_at_s = context.now_s
    assert not _is_renewal_due(context)
    context.now_s += silent_s


@when("a renewal that names it is sent")
def send_renewal(context: Context) -> None:
    context.named = _name_silent(context)
    assert [name for name, _ in context.named] == ["vm-0"]
    assert not _is_renewal_due(context)


@when("the VM reports again")
def report_again(context: Context) -> None:
    context.now_s += 0.1
    _report(context)


@then("a renewal is due at once")
def renewal_due(context: Context) -> None:
    assert _is_renewal_due(context)


@then("one log line tells that it is silent, with the rest of its lease")
def logged(context: Context) -> None:
    context.now_s += 0.2
    _name_silent(context)
    lines = [
        explanation.fields
        for explanation in context.leader.explanations
        if explanation.text.startswith("silent;")
    ]
    expected = dict(context.named)["vm-0"]
    assert lines == [{"vm": "vm-0", "silent_ms": 1400, "leased_ms": expected}]
    context.now_s -= 0.2


@then("its orders grant no lease")
def no_lease(context: Context) -> None:
    assert not _orders(context).lease_ms


@when("a renewal that doesn't name it is stored")
def store_renewal(context: Context) -> None:
    batch = context.leader.collect_batch()
    batch.silent_vms = _name_silent(context)
    assert not batch.silent_vms
    # Until it is stored, the next leader has read the former one only.
    assert not _orders(context).lease_ms
    context.leader.commit(batch)


@then("its orders grant a lease")
def lease(context: Context) -> None:
    assert _orders(context).lease_ms


@then("the next leader counts its leases until they have expired")
def counted_until(context: Context) -> None:
    grants = FormerGrants(context.now_s, context.named)
    expired_at_s = lease_bounds.granted_until_s(context.granted_at_s)
    assert 0 <= grants.until_s("vm-0") - expired_at_s < TOLERANCE_S
    assert grants.until_s("vm-1") == lease_bounds.former_grants_until_s(
        context.now_s
    )


@when("the VM reports that runs may go on for {hold_ms:d} ms")
def report_hold(context: Context, hold_ms: int) -> None:
    vm = context.leader.vms["vm-0"]
    vm.hold_on(context.now_s, hold_ms)
    context.held_until_s = context.now_s + hold_ms / 1000


@then("the next leader counts its leases until that time")
def counted_until_hold(context: Context) -> None:
    grants = FormerGrants(context.now_s, context.named)
    assert 0 <= grants.until_s("vm-0") - context.held_until_s < 1.0


@given("a leader that took over from one whose VM had claims")
def take_over_claims(context: Context) -> None:
    leader_with_silent_vm(context, 0.0)
    former = context.leader
    context.now_s += 3.0
    context.leader = CellLeader("e-2", "e-2", 3, context.now_s)
    view = JobView(former.jobs[JOB_ID].submission)
    occurrence = former.jobs[JOB_ID].occurrence(0)
    view.set_occurrence(0, occurrence.snapshot(), 1)
    context.leader.on_job(view, context.now_s)
    assert context.leader.vms["vm-0"].claims


@then("a renewal names no VM for {seconds:f} s")
def names_none(context: Context, seconds: float) -> None:
    until_s = context.now_s + seconds
    while context.now_s < until_s:
        assert not _is_renewal_due(context)
        assert not _name_silent(context)
        context.now_s += 0.1
    context.now_s += 0.2
    assert _name_silent(context)


@given("a follower that has read a renewal at {at_s:f} s")
def read_renewal(context: Context, at_s: float) -> None:
    context.former = FormerLeadership()
    context.former.on_record(
        Leadership(4, "e-0", 1, 7, silent_vms=()), at_s, follows_last=True
    )


@given("a follower that has read a renewal of an earlier build at {at_s:f} s")
def read_earlier_renewal(context: Context, at_s: float) -> None:
    context.former = FormerLeadership()
    context.former.on_record(
        Leadership(4, "e-0", 1, 7), at_s, follows_last=True
    )


@given("a follower that has read no renewal")
def read_none(context: Context) -> None:
    context.former = FormerLeadership()


@when("it reads another renewal at {at_s:f} s")
def read_another(context: Context, at_s: float) -> None:
    context.former.on_record(
        Leadership(4, "e-0", 1, 8, silent_vms=()), at_s, follows_last=True
    )


@when("it reads its own takeover at {at_s:f} s")
def read_takeover(context: Context, at_s: float) -> None:
    context.now_s = at_s
    context.former.on_record(Leadership(5, "e-1", 1), at_s, follows_last=True)


@when("it reads a takeover of another entry with the same term at {at_s:f} s")
def read_lost_takeover(context: Context, at_s: float) -> None:
    context.now_s = at_s
    context.former.on_record(Leadership(5, "e-2", 1), at_s, follows_last=True)


@when("it reloads the store and finds its own takeover at {at_s:f} s")
def reload_store(context: Context, at_s: float) -> None:
    context.now_s = at_s
    context.former.on_record(Leadership(5, "e-1", 1), at_s, follows_last=False)


@then("it counts the leases of other VMs from {at_s:f} s")
def counts_from(context: Context, at_s: float) -> None:
    until_s = context.former.grants(context.now_s).until_s("vm-0")
    assert until_s == lease_bounds.former_grants_until_s(at_s), until_s
