"""Simulation of a pool with one guard and one placement policy."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec

from yuccapoint.bench.simulated_vm import SimulatedVm
from yuccapoint.job.guard import Guard
from yuccapoint.job.interference.pair_table import PairTable
from yuccapoint.job.job import Job
from yuccapoint.job.lease_rules import REPORT_INTERVAL_S
import yuccapoint.job.placement.interference_aware  # noqa: F401
import yuccapoint.job.placement.policies  # noqa: F401
from yuccapoint.job.placement.registry import PLACEMENT_POLICIES
from yuccapoint.job.size import Size
from yuccapoint.job.vm_view import VmView
from yuccapoint_standins.hidden_interference import HiddenInterference
from yuccapoint_standins.hidden_interference import SLOW_OSCILLATION
from yuccapoint_standins.lagging_usage import LaggingUsage
from yuccapoint_standins.lagging_usage import UsageFaults

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.bench.simulated_vm import UsageGuard
    from yuccapoint.job.worker_events import TaskEnded
    from yuccapoint_standins.hidden_interference import Oscillation

STEP_S = 0.25
DURATION_S = 600.0
VM_COUNT = 11
JOB_CLASSES = [f"class-{number}" for number in range(8)]
TARGET_LOAD = 0.6
MEAN_JOB_RUN_S = 60.0
RESTART_COST_S = 5.0
LATENCY_SAMPLES_PER_STEP = 4
LATENCY_SIGMA = 0.25
JOB_MEMORY_BYTES = 1 << 28
TRUE_CULPRIT_SHARE = 0.5


class TrialConfig(msgspec.Struct, frozen=True):
    """Pool and load of a trial.

    Attributes
    ----------
    capacity : Size
        Capacity of a VM for batch tasks.
    services : list of str
        Service classes, assigned to the VMs in turn.
    job_millicores : tuple
        Minimum and maximum millicores of a job.
    tail_weight, eviction_weight : float
        Weights that the pool passes to the guard.
    """

    capacity: Size
    services: list[str]
    job_millicores: tuple[int, int]
    tail_weight: float
    eviction_weight: float


class QueuedJob(msgspec.Struct):
    """A job that waits for a VM."""

    job: Job
    attempt: int = 1
    checkpoint: str = ""


class TrialResult(msgspec.Struct, kw_only=True):
    """Results of a trial.

    Attributes
    ----------
    p99 : float
        99th percentile of the service latency, relative to the median on
        an idle VM.
    work_core_s : float
        Batch work done less the cost of restarts, in core seconds.
    culprit_share : float
        Share of the evictions that hit a task whose true slowdown of the
        service is at least half that of the worst task on its VM.
    turns_per_vm_min : float
        Throttle reversals per VM and minute.
    """

    p99: float
    work_core_s: float
    jobs_done: int
    evictions: int
    culprit_share: float
    turns_per_vm_min: float


class InterferenceTrial:
    """A pool with a job queue and a stand-in leader that always responds.

    Parameters
    ----------
    config : TrialConfig
        Pool and load.
    seed : int
        Seed of the load, the interference and the measurement faults.
    policy : str
        Name of the placement policy.
    new_guard : callable or None
        Factory for the guard of a VM; None to run without guards.
    batch : bool
        Whether batch jobs are submitted.
    swing : Oscillation
        How the interference varies over time.
    """

    def __init__(
        self,
        config: TrialConfig,
        seed: int,
        policy: str,
        new_guard: Callable[[SimulatedVm], UsageGuard] | None,
        *,
        batch: bool = True,
        swing: Oscillation = SLOW_OSCILLATION,
    ) -> None:
        self.vms: dict[str, SimulatedVm] = {}
        self._config = config
        self._policy = PLACEMENT_POLICIES[policy]
        self._batch = batch
        self._load_rng = random.Random(f"{seed}/load")
        self._latency_rng = random.Random(f"{seed}/latency")
        self._placement_rng = random.Random(f"{seed}/choice")
        self._queue: list[QueuedJob] = []
        self._running: dict[str, QueuedJob] = {}
        self._submitted_count = 0
        self._done_count = 0
        self._work_core_s = 0.0
        self._latencies: list[float] = []
        self._pair_table = PairTable()
        self._next_exchange_s = 0.0
        interference = HiddenInterference(seed, swing)
        for number in range(VM_COUNT):
            service = config.services[number % len(config.services)]
            vm = SimulatedVm(f"vm-{number}", service, config.capacity)
            vm.model.interference = interference
            rng = random.Random(f"{seed}/usage/{number}")
            vm.model.usage_samples = LaggingUsage(_usage_faults(rng), rng)
            if new_guard is not None:
                vm.guard = new_guard(vm)
            self.vms[vm.name] = vm

    def run(self) -> TrialResult:
        """Simulate the whole duration and return the results."""
        now_s = 0.0
        while now_s < DURATION_S:
            now_s += STEP_S
            self._exchange_pair_tables(now_s)
            self._submit()
            self._place(now_s)
            for vm in self.vms.values():
                for ended in vm.step(now_s):
                    self._on_task_ended(ended)
                self._sample_latencies(vm)
        return self._result()

    def _exchange_pair_tables(self, now_s: float) -> None:
        if now_s < self._next_exchange_s:
            return
        self._next_exchange_s = now_s + REPORT_INTERVAL_S
        for vm in self.vms.values():
            if not isinstance(vm.guard, Guard):
                continue
            report = vm.guard.pair_report(now_s)
            if report is None:
                continue
            self._pair_table.put(vm.name, 1, report)
            if report.wants_priors:
                priors = self._pair_table.priors(vm.service)
                vm.guard.apply_priors(priors, now_s)

    def _submit(self) -> None:
        config = self._config
        low, high = config.job_millicores
        mean_core_s = (low + high) / 2000.0 * MEAN_JOB_RUN_S
        cores = VM_COUNT * config.capacity.millicores / 1000.0
        probability = TARGET_LOAD * cores / mean_core_s * STEP_S
        if self._load_rng.random() >= probability:
            return
        millicores = self._load_rng.randint(low, high)
        run_s = self._load_rng.expovariate(1.0 / MEAN_JOB_RUN_S)
        job_class = self._load_rng.choice(JOB_CLASSES)
        if not self._batch:
            return
        self._submitted_count += 1
        job = Job(
            job_id=f"job-{self._submitted_count}",
            team="team",
            customer="customer",
            job_class=job_class,
            pool="pool",
            size=Size(millicores, JOB_MEMORY_BYTES, 0),
            run_time_s=run_s,
            command=f"run_s={run_s:.3f}",
        )
        self._queue.append(QueuedJob(job))

    def _place(self, now_s: float) -> None:
        if not self._queue:
            return
        views = self._views(now_s)
        still_queued = []
        for queued in self._queue:
            job = queued.job
            fitting = [v for v in views if job.size.fits(v.free)]
            choice = self._policy(job, fitting, self._placement_rng)
            if choice is None:
                still_queued.append(queued)
                continue
            choice.free = choice.free - job.size
            choice.batch_classes.append(job.job_class)
            self._running[job.job_id] = queued
            self.vms[choice.vm].start(
                job, queued.attempt, queued.checkpoint, now_s
            )
        self._queue = still_queued

    def _views(self, now_s: float) -> list[VmView]:
        views = []
        for vm in self.vms.values():
            guard = vm.guard
            if isinstance(guard, Guard) and not guard.accepts_batch(now_s):
                continue
            view = VmView(vm.name)
            view.capacity = vm.task_manager.allocator.capacity
            view.free = vm.task_manager.allocator.free
            view.reported_attempts = {
                task.job_id: task.attempt
                for task in vm.task_manager.tasks.values()
            }
            view.batch_classes = [
                task.job_class for task in vm.task_manager.tasks.values()
            ]
            view.service = vm.service
            view.pairs = self._pair_table
            views.append(view)
        return views

    def _on_task_ended(self, ended: TaskEnded) -> None:
        queued = self._running.pop(ended.job_id)
        if ended.outcome == "done":
            self._done_count += 1
            return
        queued.attempt += 1
        queued.checkpoint = ended.checkpoint
        self._work_core_s -= (
            RESTART_COST_S * queued.job.size.millicores / 1000.0
        )
        self._queue.append(queued)

    def _sample_latencies(self, vm: SimulatedVm) -> None:
        slowdown = vm.model.slowdown
        for _ in range(LATENCY_SAMPLES_PER_STEP):
            alone = self._latency_rng.lognormvariate(0.0, LATENCY_SIGMA)
            self._latencies.append(alone * slowdown)
        for task in vm.model.tasks.values():
            cores = task.size.millicores / 1000.0
            self._work_core_s += task.share * cores * STEP_S

    def _result(self) -> TrialResult:
        latencies = sorted(self._latencies)
        evicted = [
            eviction for vm in self.vms.values() for eviction in vm.evicted
        ]
        culprits = 0
        for job_id, slowdowns in evicted:
            max_slowdown = max(slowdowns.values())
            culprits += slowdowns[job_id] >= TRUE_CULPRIT_SHARE * max_slowdown
        throttle_reversals = sum(
            vm.throttle_reversals() for vm in self.vms.values()
        )
        return TrialResult(
            p99=round(latencies[int(0.99 * len(latencies))], 3),
            work_core_s=round(self._work_core_s, 1),
            jobs_done=self._done_count,
            evictions=len(evicted),
            culprit_share=round(culprits / max(1, len(evicted)), 3),
            turns_per_vm_min=round(
                throttle_reversals / VM_COUNT / (DURATION_S / 60.0), 3
            ),
        )


def _usage_faults(rng: random.Random) -> UsageFaults:
    begin_s = rng.uniform(0.0, DURATION_S)
    return UsageFaults(
        lag_s=rng.uniform(0.8, 2.0),
        noise=0.08,
        spikes=0.02,
        lost=0.1,
        doubled=0.1,
        late=0.1,
        blackouts=[(begin_s, begin_s + 20.0)],
    )
