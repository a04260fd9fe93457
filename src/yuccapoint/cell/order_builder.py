"""Builds the leader's orders to a VM's agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell import lease_bounds
from yuccapoint.cell.cell_messages import LeaderOrders
from yuccapoint.cell.cell_messages import StartOrder
from yuccapoint.cell.cell_messages import TaskTraits
from yuccapoint.cell.due_starts import is_start_due
from yuccapoint.cell.due_starts import is_start_misplaced
from yuccapoint.cell.due_starts import withdraw_excess_starts
from yuccapoint.cell.due_starts import withdraw_misplaced_starts

if TYPE_CHECKING:
    from yuccapoint.cell.cell_leader import CellLeader
    from yuccapoint.cell.task_run import TaskRun
    from yuccapoint.cell.vm_ledger import VmLedger
    from yuccapoint.job.interference.pair_report import PairEstimate

# Interval at which the interference estimates for a VM are sent.
PAIRS_INTERVAL_S = 1.5
# Limit of the starts in one message, as payloads may be long.
MAX_STARTS_PER_MESSAGE = 40


def build_orders(
    leader: CellLeader, vm: VmLedger, now_s: float, *, grant: bool
) -> LeaderOrders:
    """Build the orders with all that a VM's agent needs now.

    Parameters
    ----------
    leader : CellLeader
        Leader that issues the orders.
    vm : VmLedger
        VM that the orders are for.
    now_s : float
        Steady time in seconds.
    grant : bool
        Whether a lease may be granted.
    """
    sequence = vm.next_order_sequence(now_s)
    # Runs of a worker that its agent does not know end with their lease. An
    # agent ignores all but the lease of orders that name no instance, so that
    # it could make starts that were abandoned when the last lease expired.
    grant = grant and vm.has_worker and vm.worker is not None
    # Without an end of its lease, a VM that gets no orders would keep the
    # claims whose starts it never gets.
    grant = grant and vm.unconfirmed_s(now_s) < lease_bounds.VM_LEASE_S
    # The next leader counts on it.
    grant = grant and not vm.named_silent
    if grant:
        vm.grant()
    has_room = withdraw_excess_starts(leader, vm, now_s)
    withdraw_misplaced_starts(leader, vm, now_s)
    starts: list[StartOrder] = []
    stops = [*vm.unclaimed_runs, *vm.late_starts(now_s)]
    traits = []
    awaited = []
    for task in vm.claims.values():
        if task.stopping:
            stops.append((task.task_id, task.run))
            continue
        if task.step.spec.target_ms or task.step.spec.best_effort:
            traits.append(_traits(task))
        if not task.seen_running:
            awaited.append((task.task_id, task.run))
        if (
            has_room
            and is_start_due(vm, task, now_s)
            and not is_start_misplaced(vm, task)
            and len(starts) < MAX_STARTS_PER_MESSAGE
        ):
            task.ordered_at_s = now_s
            vm.note_order(task.task_id, task.run, now_s)
            starts.append(_start(leader, task, vm, now_s))
    return LeaderOrders(
        vm=vm.name,
        term=leader.term,
        leader=leader.name,
        address=leader.address,
        sequence=sequence,
        answers=vm.report_sequence,
        agent_incarnation=vm.incarnation,
        lease_ms=int(lease_bounds.VM_LEASE_S * 1000) if grant else 0,
        instance=vm.instance,
        acked_end_number=vm.acked_end_number,
        starts=tuple(starts),
        awaited=tuple(awaited),
        stops=tuple(stops),
        traits=tuple(traits),
        pairs=_pairs(leader, vm, now_s),
    )


def _start(
    leader: CellLeader, task: TaskRun, vm: VmLedger, now_s: float
) -> StartOrder:
    return StartOrder(
        task_id=task.task_id,
        run=task.run,
        payload=task.step.occurrence.job.submission.payload,
        checkpoint=task.checkpoint,
        ticket=leader.ticket_cache.ticket(task.step, vm.instance, now_s),
    )


def _traits(task: TaskRun) -> TaskTraits:
    spec = task.step.spec
    return TaskTraits(
        task.task_id,
        spec.image,
        spec.size.millicores,
        spec.target_ms,
        spec.best_effort,
    )


def _pairs(
    leader: CellLeader, vm: VmLedger, now_s: float
) -> tuple[PairEstimate, ...]:
    serving = set()
    best_effort = set()
    for task in vm.claims.values():
        spec = task.step.spec
        if spec.target_ms:
            serving.add(spec.image)
        if spec.best_effort:
            best_effort.add(spec.image)
    images = frozenset(serving | best_effort)
    recent = now_s - vm.pairs_sent_at_s < PAIRS_INTERVAL_S
    if (
        not serving
        or not best_effort
        or (recent and images == vm.pairs_sent_for)
    ):
        return ()
    vm.pairs_sent_at_s = now_s
    vm.pairs_sent_for = images
    return tuple(
        pair
        for image in sorted(serving)
        for pair in leader.interference.estimates_for(image)
        if pair.job_class in best_effort
    )
