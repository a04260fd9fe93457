"""Learns which images disturb which, from all VMs of a cell."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.service_load import ServiceFloors
from yuccapoint.job.interference.neighbour import Neighbour
from yuccapoint.job.interference.pair_estimates import PairEstimates
from yuccapoint.job.interference.pair_estimates import UNKNOWN_SLOWDOWN
from yuccapoint.job.interference.pair_report import PairEstimate

if TYPE_CHECKING:
    from yuccapoint.cell.job_run import StepRun
    from yuccapoint.cell.job_run import TaskRun
    from yuccapoint.cell.vm_ledger import VmLedger

# Tasks of a step share their callers, so their loads are compared; reports
# further apart than this, in seconds, describe different loads.
SAME_LOAD_S = 0.9
# A task that uses this share of a VM's processors counts as one neighbour.
NEIGHBOUR_SHARE = 0.125
# A VM's report is learned from this often, in seconds; it bounds the cost.
LEARN_EVERY_S = 0.7
# Standard deviation of the loads of a step's tasks that run alone, as seen
# on both small sites: tails are whole milliseconds.
LOAD_NOISE_SD = 0.07
# Pairs that are kept for the next leader; about 40 bytes each.
MAX_KEPT_PAIRS = 1_024


class SeenLoad:
    """The load of a serving task as one report showed it."""

    __slots__ = ("at_s", "load")

    def __init__(self, load: float, at_s: float) -> None:
        self.load = load
        self.at_s = at_s


class DisturbanceWatch:
    """Compares serving tasks of a step that run on different VMs.

    They serve the same callers, so the least loaded one shows the load
    that they would all have alone; what another has above it is put down
    to the filling work beside it.
    """

    def __init__(self) -> None:
        self._floors = ServiceFloors()
        self._loads: dict[int, dict[str, SeenLoad]] = {}
        self._estimates: dict[str, PairEstimates] = {}
        self._learned_at_s: dict[str, float] = {}

    def on_report(self, vm: VmLedger, now_s: float) -> None:
        """Learn from the tasks of a VM that has just reported."""
        if now_s - self._learned_at_s.get(vm.name, 0.0) < LEARN_EVERY_S:
            return
        self._learned_at_s[vm.name] = now_s
        millicores = 0
        if vm.worker is not None:
            millicores = vm.worker.capacity.millicores
        unit = max(1.0, NEIGHBOUR_SHARE * millicores)
        company = []
        serving = []
        for task in vm.claims.values():
            if not task.seen_running:
                continue
            spec = task.step.spec
            if spec.filling:
                share = task.load / unit
                company.append(Neighbour(task.task_id, spec.image, share))
            elif spec.target_ms and task.percent >= 100:
                serving.append(task)
        for task in serving:
            self._note(task, now_s)
        for task in serving:
            self._learn(task, company, now_s)

    def forget(self, step: StepRun) -> None:
        """Drop the loads of a step whose job has ended."""
        self._loads.pop(id(step), None)

    def expected(self, image: str, filling_image: str) -> float:
        """Give the load that a filling neighbour adds to a service."""
        estimates = self._estimates.get(image)
        if estimates is None:
            return UNKNOWN_SLOWDOWN
        return estimates.weight(filling_image)

    def take_known(self, pairs: tuple[PairEstimate, ...]) -> None:
        """Take over what a former leader learned."""
        for pair in pairs:
            estimates = self._estimates_of(pair.service)
            estimates.take_prior(pair.job_class, pair.slowdown, pair.deviation)

    def all_pairs(self) -> tuple[PairEstimate, ...]:
        """Give all that is known, for the next leader."""
        found: list[PairEstimate] = []
        for image in sorted(self._estimates):
            found.extend(self.known_pairs(image))
        return tuple(found[:MAX_KEPT_PAIRS])

    def known_pairs(self, image: str) -> list[PairEstimate]:
        """Give all that is known of who disturbs a service."""
        estimates = self._estimates.get(image)
        if estimates is None:
            return []
        return [
            PairEstimate(
                image,
                other,
                estimates.weight(other),
                estimates.deviation(other),
                estimates.counts.get(other, 0.0),
            )
            for other in estimates.classes
        ]

    def _note(self, task: TaskRun, now_s: float) -> None:
        load = self._floors.load(
            task.step.spec.image, task.load, task.step.spec.target_ms
        )
        loads = self._loads.setdefault(id(task.step), {})
        loads[task.task_id] = SeenLoad(load, now_s)

    def _learn(
        self, task: TaskRun, company: list[Neighbour], now_s: float
    ) -> None:
        loads = self._loads[id(task.step)]
        fresh = [
            seen.load
            for seen in loads.values()
            if now_s - seen.at_s < SAME_LOAD_S
        ]
        if len(fresh) < 2:
            return
        excess = loads[task.task_id].load - min(fresh)
        estimates = self._estimates_of(task.step.spec.image)
        estimates.learn(company, 1.0 + excess, now_s)

    def _estimates_of(self, image: str) -> PairEstimates:
        estimates = self._estimates.get(image)
        if estimates is None:
            estimates = PairEstimates(LOAD_NOISE_SD)
            self._estimates[image] = estimates
        return estimates
