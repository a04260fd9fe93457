"""Learns from all VMs of a cell which images interfere with which."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from yuccapoint.cell.latency_baselines import LatencyBaselines
from yuccapoint.cell.neighbour_fit import NeighbourFit
from yuccapoint.cell.neighbour_fit import PRIOR_WEIGHT
from yuccapoint.job.interference.pair_report import PairEstimate

if TYPE_CHECKING:
    from yuccapoint.cell.step_run import StepRun
    from yuccapoint.cell.task_run import TaskRun
    from yuccapoint.cell.vm_ledger import VmLedger

# Tasks of a step share their callers, so that their loads are comparable.
# Samples that are further apart in time reflect different loads.
MAX_SAMPLE_AGE_S = 0.6
# A task with this share of a VM's processors counts as one neighbour.
NEIGHBOUR_CPU_SHARE = 0.125
# Reports of a VM are used at this interval, as the tail latency in a report
# covers the last half second.
LEARN_INTERVAL_S = 0.5
# Limit of the pairs stored for the next leader, at about 40 bytes each.
MAX_STORED_PAIRS = 1_024


class LoadSample:
    """Load of a step's tasks on one VM, with the best-effort work there.

    Attributes
    ----------
    load : float
        Mean of the tasks' loads.
    shares : dict of str to float
        Processors used by each best-effort image, in neighbours.
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


class InterferenceModel:
    """Estimates interference by comparing a step's tasks across VMs.

    Serving tasks of one step have the same callers. A load above that of
    the others is attributed to the best-effort work on the same VM.
    """

    def __init__(self) -> None:
        self._baselines = LatencyBaselines()
        self._samples: dict[int, dict[str, LoadSample]] = {}
        self._fits: dict[str, NeighbourFit] = {}
        self._learned_at_s: dict[str, float] = {}

    def on_report(self, vm: VmLedger, now_s: float) -> None:
        """Learn from the tasks of a VM that has just reported."""
        if now_s - self._learned_at_s.get(vm.name, 0.0) < LEARN_INTERVAL_S:
            return
        self._learned_at_s[vm.name] = now_s
        millicores = 0
        if vm.worker is not None:
            millicores = vm.worker.capacity.millicores
        unit = max(1.0, NEIGHBOUR_CPU_SHARE * millicores)
        shares: dict[str, float] = {}
        serving: dict[int, list[TaskRun]] = {}
        for task in vm.claims.values():
            if not task.seen_running:
                continue
            spec = task.step.spec
            if spec.best_effort:
                used = task.load / unit
                shares[spec.image] = shares.get(spec.image, 0.0) + used
            elif spec.target_ms and task.percent >= 100:
                serving.setdefault(id(task.step), []).append(task)
        for tasks in serving.values():
            self._learn(vm.name, tasks, shares, now_s)

    def forget(self, step: StepRun) -> None:
        """Drop the samples of a step whose job has ended."""
        self._samples.pop(id(step), None)

    def expected_load(self, image: str, best_effort_image: str) -> float:
        """Return the load that a best-effort neighbour adds to a service."""
        fit = self._fits.get(image)
        return PRIOR_WEIGHT if fit is None else fit.weight(best_effort_image)

    def similarity(self, image: str, other: str) -> float:
        """Return how similarly two services react to their neighbours.

        Returns
        -------
        float
            1 for the same image or equal reactions; 0 when no neighbour
            is common to both or nothing is known.
        """
        if image == other:
            return 1.0
        first, second = self._fits.get(image), self._fits.get(other)
        if first is None or second is None:
            return 0.0
        common = set(first.images).intersection(second.images)
        pairs = [(first.weight(name), second.weight(name)) for name in common]
        product = sum(a * b for a, b in pairs)
        squares = sum(a * a for a, _ in pairs) * sum(b * b for _, b in pairs)
        return product / math.sqrt(squares) if squares else 0.0

    def load_estimates(self, pairs: tuple[PairEstimate, ...]) -> None:
        """Load the estimates of a former leader."""
        for pair in pairs:
            fit = self._fits.setdefault(pair.service, NeighbourFit())
            fit.set_prior(pair.job_class, pair.slowdown, pair.deviation)

    def all_estimates(self) -> tuple[PairEstimate, ...]:
        """Return all estimates, for the next leader."""
        estimates: list[PairEstimate] = []
        for image in sorted(self._fits):
            estimates.extend(self.estimates_for(image))
        return tuple(estimates[:MAX_STORED_PAIRS])

    def estimates_for(self, image: str) -> list[PairEstimate]:
        """Return all estimates for the neighbours of a service."""
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
            self._baselines.load(spec.image, task.load, spec.target_ms)
            for task in tasks
        ]
        load = sum(loads) / len(loads)
        samples = self._samples.setdefault(id(tasks[0].step), {})
        others = [
            sample
            for name, sample in samples.items()
            if name != vm_name and now_s - sample.at_s < MAX_SAMPLE_AGE_S
        ]
        samples[vm_name] = LoadSample(load, shares, now_s)
        if not others:
            return
        share_differences = dict(shares)
        for sample in others:
            for image, share in sample.shares.items():
                share_differences[image] = share_differences.get(
                    image, 0.0
                ) - share / len(others)
        excess = load - sum(sample.load for sample in others) / len(others)
        fit = self._fits.setdefault(spec.image, NeighbourFit())
        fit.learn(share_differences, excess, len(others), now_s)
