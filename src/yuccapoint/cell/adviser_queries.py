"""Queries to the adviser and the handling of its answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.obstacle import Obstacle
from yuccapoint.cell.ticket_cache import step_id

if TYPE_CHECKING:
    from yuccapoint.cell.cell_leader import CellLeader
    from yuccapoint.cell.occurrence_state import WorkerInstance
    from yuccapoint.cell.step_run import StepRun
    from yuccapoint.cell.vm_ledger import VmLedger

# Limit of the steps for which all workers are visited at a time, as reports
# and leases wait meanwhile. The next call visits the others.
MAX_VISITED_STEPS = 128


class AdviserQueries:
    """Chooses the steps and workers of each query to the adviser.

    Parameters
    ----------
    leader : CellLeader
        Leader whose steps need tickets.
    """

    __slots__ = ("_leader",)

    def __init__(self, leader: CellLeader) -> None:
        self._leader = leader

    def next_query(
        self, now_s: float, wall_ms: int
    ) -> tuple[StepRun, list[WorkerInstance]] | None:
        """Return the next step to query the adviser for, with workers."""
        advised = [
            job
            for job in self._leader.jobs.values()
            if job.queue.rules.advice_valid_ms
        ]
        if not advised:
            return None
        ticket_cache = self._leader.ticket_cache
        # The same for all steps that share a pool and last or end alike.
        open_instances: dict[
            tuple[str, bool],
            tuple[list[WorkerInstance], frozenset[WorkerInstance]],
        ] = {}
        visited_steps = 0
        for step in self._leader.planner(now_s, wall_ms).ready_steps(advised):
            kind = (step.pool, step.spec.long_running)
            if kind not in open_instances:
                found = self._find_instances(step, now_s)
                open_instances[kind] = (found, frozenset(found))
            instances, instance_set = open_instances[kind]
            if not instances:
                continue
            if ticket_cache.is_answered(step, instance_set, now_s):
                continue
            if visited_steps >= MAX_VISITED_STEPS:
                break
            visited_steps += 1
            asked = ticket_cache.to_query(step, instances, now_s)
            if asked:
                ticket_cache.record_query(step, asked, now_s)
                return step, asked
        return None

    def _find_instances(
        self, step: StepRun, now_s: float
    ) -> list[WorkerInstance]:
        """Return the workers for a step, those with most room first."""
        vms = [
            vm
            for vm in self._leader.vms.values()
            if vm.worker is not None
            and vm.worker.pool == step.pool
            and _may_get(step, vm, now_s)
        ]
        vms.sort(
            key=lambda vm: (
                now_s < vm.quarantined_until_s,
                -vm.available.millicores,
            )
        )
        return [vm.instance for vm in vms if vm.instance is not None]

    def on_advice(
        self,
        step: StepRun,
        asked: list[WorkerInstance],
        tickets: dict[str, str] | None,
        now_s: float,
    ) -> None:
        """Store the tickets of an answer, by worker id; None if it is lost.

        ``now_s`` is when the query was sent.
        """
        if tickets is None:
            self._leader.ticket_cache.discard_query(step)
            return
        valid_ms = step.occurrence.job.queue.rules.advice_valid_ms
        for instance in asked:
            text = tickets.get(instance.worker_id)
            if text is not None:
                until_s = now_s + valid_ms / 1000
                self._leader.ticket_cache.add_ticket(
                    step, instance, text, until_s
                )
        self._leader.explain(
            "place",
            "advised",
            step=step_id(step),
            asked=len(asked),
            allowed=len(tickets),
        )


def _may_get(step: StepRun, vm: VmLedger, now_s: float) -> bool:
    """Return whether a VM may get a task of a step, perhaps later.

    A long-running task that waits may start on a VM in quarantine.
    """
    obstacle = vm.find_obstacle(now_s)
    if obstacle is Obstacle.QUARANTINE:
        return step.spec.long_running
    return obstacle is None
