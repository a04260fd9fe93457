"""``yuccapoint bench interference``: the guard and its baselines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccapoint.bench.interference_baselines import ArrivalGuard
from yuccapoint.bench.interference_baselines import BreachCountGuard
from yuccapoint.bench.interference_baselines import BreachEvictor
from yuccapoint.bench.interference_trial import InterferenceTrial
from yuccapoint.bench.interference_trial import TrialConfig
from yuccapoint.bench.interference_trial import TrialResult
from yuccapoint.bench.registry import bench
from yuccapoint.job.guard import Guard
from yuccapoint.job.size import Size
from yuccapoint_standins.hidden_interference import FAST_OSCILLATION

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.bench.simulated_vm import SimulatedVm
    from yuccapoint.bench.simulated_vm import UsageGuard

GIB = 1 << 30
GUARD_POLICY = "interference-aware"
TRIAL_CONFIGS = {
    "caribfert": TrialConfig(
        capacity=Size(56_000, 242 * GIB, 0),
        services=["quotes", "watches", "prices"],
        job_millicores=(2_000, 14_000),
        tail_weight=3.0,
        eviction_weight=1.0,
    ),
    "cyfiawn": TrialConfig(
        capacity=Size(12_000, 56 * GIB, 0),
        services=["bookings", "availability", "documents"],
        job_millicores=(500, 3_000),
        tail_weight=1.0,
        eviction_weight=3.0,
    ),
}


class InterferenceFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Results of ``bench interference``.

    Attributes
    ----------
    tail_ratio : float
        99th percentile of the latency of services that share VMs with
        batch work, relative to the same services alone.
    batch_ratio : float
        Batch work done, relative to best fit by declared sizes without a
        guard.
    eviction_ratio : float
        Evictions relative to a guard that evicts at each breach.
    flaps_per_vm_min : float
        Throttle reversals per VM and minute; ``_waves`` is measured with
        interference that oscillates between none and double in 6 to 20
        seconds.
    culprit_share : float
        Share of the evictions that hit a true cause of interference.
    runs : dict of str to TrialResult
        Results of all trials, including the baselines.
    """

    bench: str
    deployment: str
    seed: int
    tail_ratio: float
    batch_ratio: float
    eviction_ratio: float
    eviction_ratio_first_guard: float
    evictions: int
    flaps_per_vm_min: float
    flaps_per_vm_min_waves: float
    tail_ratio_waves: float
    culprit_share: float
    tail_ratio_no_guard: float
    tail_ratio_by_arrival: float
    batch_ratio_by_arrival: float
    culprit_share_by_arrival: float
    runs: dict[str, TrialResult]


@bench("interference")
def measure_interference(deployment: str, seed: int) -> InterferenceFigures:
    """Run the guard and its baselines on the same load and seed."""
    config = TRIAL_CONFIGS[deployment]

    def guard_factory(
        guard_class: type[Guard],
    ) -> Callable[[SimulatedVm], UsageGuard]:
        def new_guard_for(vm: SimulatedVm) -> UsageGuard:
            new_guard = guard_class(vm.task_manager)
            new_guard.configure(
                vm.service, config.tail_weight, config.eviction_weight
            )
            return new_guard

        return new_guard_for

    def breach_evictor(vm: SimulatedVm) -> UsageGuard:
        return BreachEvictor(vm.task_manager)

    def breach_count_guard(vm: SimulatedVm) -> UsageGuard:
        return BreachCountGuard(vm.task_manager)

    trials = {
        "alone": InterferenceTrial(
            config, seed, "best-fit", None, batch=False
        ),
        "no_guard": InterferenceTrial(config, seed, "best-fit", None),
        "each_breach": InterferenceTrial(
            config, seed, "best-fit", breach_evictor
        ),
        "first_guard": InterferenceTrial(
            config, seed, "spread", breach_count_guard
        ),
        "ours": InterferenceTrial(
            config, seed, GUARD_POLICY, guard_factory(Guard)
        ),
        "ours_best_fit": InterferenceTrial(
            config, seed, "best-fit", guard_factory(Guard)
        ),
        "ours_by_arrival": InterferenceTrial(
            config, seed, GUARD_POLICY, guard_factory(ArrivalGuard)
        ),
        "ours_waves": InterferenceTrial(
            config,
            seed,
            GUARD_POLICY,
            guard_factory(Guard),
            swing=FAST_OSCILLATION,
        ),
    }
    runs = {name: trial.run() for name, trial in trials.items()}
    return _figures(deployment, seed, runs)


def _figures(
    deployment: str, seed: int, runs: dict[str, TrialResult]
) -> InterferenceFigures:
    ours = runs["ours"]
    by_arrival = runs["ours_by_arrival"]
    alone_p99 = runs["alone"].p99
    work_core_s = runs["no_guard"].work_core_s
    return InterferenceFigures(
        bench="interference",
        deployment=deployment,
        seed=seed,
        tail_ratio=_ratio(ours.p99, alone_p99),
        batch_ratio=_ratio(ours.work_core_s, work_core_s),
        eviction_ratio=_ratio(ours.evictions, runs["each_breach"].evictions),
        eviction_ratio_first_guard=_ratio(
            ours.evictions, runs["first_guard"].evictions
        ),
        evictions=ours.evictions,
        flaps_per_vm_min=ours.turns_per_vm_min,
        flaps_per_vm_min_waves=runs["ours_waves"].turns_per_vm_min,
        tail_ratio_waves=_ratio(runs["ours_waves"].p99, alone_p99),
        culprit_share=ours.culprit_share,
        tail_ratio_no_guard=_ratio(runs["no_guard"].p99, alone_p99),
        tail_ratio_by_arrival=_ratio(by_arrival.p99, alone_p99),
        batch_ratio_by_arrival=_ratio(by_arrival.work_core_s, work_core_s),
        culprit_share_by_arrival=by_arrival.culprit_share,
        runs=runs,
    )


def _ratio(value: float, baseline: float) -> float:
    return round(value / max(baseline, 1e-9), 3)
