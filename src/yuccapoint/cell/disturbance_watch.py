"""Learns which images disturb which, from all VMs of a cell."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from yuccapoint.cell.neighbour_fit import NeighbourFit
from yuccapoint.cell.neighbour_fit import PRIOR_WEIGHT
from yuccapoint.cell.service_load import ServiceFloors
from yuccapoint.job.interference.pair_report import PairEstimate

if TYPE_CHECKING:
    from yuccapoint.cell.job_run import StepRun
    from yuccapoint.cell.job_run import TaskRun
    from yuccapoint.cell.vm_ledger import VmLedger

# Tasks of a step share their callers, so their loads are compared; reports
# further apart than this, in seconds, describe different loads.
SAME_LOAD_S = 0.6
# A task that uses this share of a VM's processors counts as one neighbour.
NEIGHBOUR_SHARE = 0.125
# A VM's report is learned from this often, in seconds: the tail that it
# tells is of the last half second.
LEARN_EVERY_S = 0.5
# Pairs that are kept for the next leader; about 40 bytes each.
MAX_KEPT_PAIRS = 1_024


class SeenLoad:
    """The load of a step's tasks on one VM, and the filling work there.

    Attributes
    ----------
    load : float
        Mean of the tasks' loads.
    shares : dict of str to float
        Processors that each filling image used, in neighbours.
    at_s : float
        When it was reported.
    """

    __slots__ = ("at_s", "load", "shares")

    def __init__(
        self, load: float, shares: dict[str, float], at_s: float
    ) -> None:
        self.load = load
        self.shares = shares
        self.at_s = at_s


class DisturbanceWatch:
    """Compares serving tasks of a step that run on different VMs.

    They serve the same callers, so that what one has above the others is
    put down to the filling work beside it.
    """

    def __init__(self) -> None:
        self._floors = ServiceFloors()
        self._seen: dict[int, dict[str, SeenLoad]] = {}
        self._fits: dict[str, NeighbourFit] = {}
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
        shares: dict[str, float] = {}
        serving: dict[int, list[TaskRun]] = {}
        for task in vm.claims.values():
            if not task.seen_running:
                continue
            spec = task.step.spec
            if spec.filling:
                used = task.load / unit
                shares[spec.image] = shares.get(spec.image, 0.0) + used
            elif spec.target_ms and task.percent >= 100:
                serving.setdefault(id(task.step), []).append(task)
        for tasks in serving.values():
            self._learn(vm.name, tasks, shares, now_s)

    def forget(self, step: StepRun) -> None:
        """Drop the loads of a step whose job has ended."""
        self._seen.pop(id(step), None)

    def expected(self, image: str, filling_image: str) -> float:
        """Give the load that a filling neighbour adds to a service."""
        fit = self._fits.get(image)
        return PRIOR_WEIGHT if fit is None else fit.weight(filling_image)

    def likeness(self, image: str, other: str) -> float:
        """Tell how far two services are disturbed by the same images.

        Returns
        -------
        float
            1 for the same or for all the same neighbours, 0 for none in
            common or where nothing is known.
        """
        if image == other:
            return 1.0
        one, two = self._fits.get(image), self._fits.get(other)
        if one is None or two is None:
            return 0.0
        both = set(one.images).intersection(two.images)
        pairs = [(one.weight(name), two.weight(name)) for name in both]
        product = sum(a * b for a, b in pairs)
        squares = sum(a * a for a, _ in pairs) * sum(b * b for _, b in pairs)
        return product / math.sqrt(squares) if squares else 0.0

    def take_known(self, pairs: tuple[PairEstimate, ...]) -> None:
        """Take over what a former leader learned."""
        for pair in pairs:
            fit = self._fits.setdefault(pair.service, NeighbourFit())
            fit.take_prior(pair.job_class, pair.slowdown, pair.deviation)

    def all_pairs(self) -> tuple[PairEstimate, ...]:
        """Give all that is known, for the next leader."""
        found: list[PairEstimate] = []
        for image in sorted(self._fits):
            found.extend(self.known_pairs(image))
        return tuple(found[:MAX_KEPT_PAIRS])

    def known_pairs(self, image: str) -> list[PairEstimate]:
        """Give all that is known of who disturbs a service."""
        fit = self._fits.get(image)
        if fit is None:
            return []
        return [
            PairEstimate(image, other, fit.weight(other), fit.deviation(other))
            for other in fit.images
        ]

    def _learn(
        self,
        vm_name: str,
        tasks: list[TaskRun],
        shares: dict[str, float],
        now_s: float,
    ) -> None:
        spec = tasks[0].step.spec
        loads = [
            self._floors.load(spec.image, task.load, spec.target_ms)
            for task in tasks
        ]
        load = sum(loads) / len(loads)
        seen_on = self._seen.setdefault(id(tasks[0].step), {})
        others = [
            seen
            for name, seen in seen_on.items()
            if name != vm_name and now_s - seen.at_s < SAME_LOAD_S
        ]
        seen_on[vm_name] = SeenLoad(load, shares, now_s)
        if not others:
            return
        more = dict(shares)
        for seen in others:
            for image, share in seen.shares.items():
                more[image] = more.get(image, 0.0) - share / len(others)
        excess = load - sum(seen.load for seen in others) / len(others)
        fit = self._fits.setdefault(spec.image, NeighbourFit())
        fit.learn(more, excess, len(others), now_s)
