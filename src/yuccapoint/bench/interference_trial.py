"""One run of a pool in virtual time under one guard and placement."""

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
RUN_S = 600.0
VMS = 11
JOB_CLASSES = [f"class-{number}" for number in range(8)]
LOAD = 0.6
MEAN_RUN_S = 60.0
RESTART_S = 5.0
LATENCIES_PER_STEP = 4
LATENCY_SIGMA = 0.25
MEMORY_BYTES = 1 << 28
TRUE_CULPRIT_SHARE = 0.5


class TrialShape(msgspec.Struct, frozen=True):
    """The pool and load of a trial.

    Attributes
    ----------
    capacity : Size
        What a VM holds for batch tasks.
    services : list of str
        Service classes, in turn over the VMs.
    job_millicores : tuple
        Least and most processors of a job.
    tail_weight, eviction_weight : float
        Weights of the pool.
    """

    capacity: Size
    services: list[str]
    job_millicores: tuple[int, int]
    tail_weight: float
    eviction_weight: float


class Waiting(msgspec.Struct):
    """A job that waits for a VM."""

    job: Job
    attempt: int = 1
    checkpoint: str = ""


class Measured(msgspec.Struct, kw_only=True):
    """What a trial gave.

    Attributes
    ----------
    p99 : float
        99th percentile of the services' times, 1 being the median of an
        idle VM.
    work_core_s : float
        Batch work done, in processor seconds, less what restarts cost.
    culprit_share : float
        Share of the evictions that hit a task which truly added at least
        half of what the worst one on its VM added.
    turns_per_vm_min : float
        Changes of a throttle's direction per VM and minute.
    """

    p99: float
    work_core_s: float
    jobs_done: int
    evictions: int
    culprit_share: float
    turns_per_vm_min: float


class Trial:
    """A pool, a queue and a stand-in leader that always answers.

    Parameters
    ----------
    shape : TrialShape
        The pool and its load.
    seed : int
        Seed of load, interference and faults.
    policy : str
        Name of the placement policy.
    new_guard : callable or None
        Makes the guard of a VM; None for none.
    batch : bool
        Whether batch jobs come at all.
    swing : Oscillation
        Waves in the interference.
    """

    def __init__(
        self,
        shape: TrialShape,
        seed: int,
        policy: str,
        new_guard: Callable[[SimulatedVm], UsageGuard] | None,
        *,
        batch: bool = True,
        swing: Oscillation = SLOW_OSCILLATION,
    ) -> None:
        self.vms: dict[str, SimulatedVm] = {}
        self._shape = shape
        self._policy = PLACEMENT_POLICIES[policy]
        self._batch = batch
        self._load = random.Random(f"{seed}/load")
        self._latency = random.Random(f"{seed}/latency")
        self._choice = random.Random(f"{seed}/choice")
        self._waiting: list[Waiting] = []
        self._running: dict[str, Waiting] = {}
        self._jobs = 0
        self._done = 0
        self._work_core_s = 0.0
        self._latencies: list[float] = []
        self._table = PairTable()
        self._share_at_s = 0.0
        interference = HiddenInterference(seed, swing)
        for number in range(VMS):
            service = shape.services[number % len(shape.services)]
            vm = SimulatedVm(f"vm-{number}", service, shape.capacity)
            vm.model.interference = interference
            rng = random.Random(f"{seed}/usage/{number}")
            vm.model.usage_samples = LaggingUsage(_faults(rng), rng)
            if new_guard is not None:
                vm.guard = new_guard(vm)
            self.vms[vm.name] = vm

    def run(self) -> Measured:
        """Let the whole time pass."""
        now_s = 0.0
        while now_s < RUN_S:
            now_s += STEP_S
            self._share(now_s)
            self._submit()
            self._place(now_s)
            for vm in self.vms.values():
                for ended in vm.step(now_s):
                    self._end(ended)
                self._measure(vm)
        return self._measured()

    def _share(self, now_s: float) -> None:
        if now_s < self._share_at_s:
            return
        self._share_at_s = now_s + REPORT_INTERVAL_S
        for vm in self.vms.values():
            if not isinstance(vm.guard, Guard):
                continue
            report = vm.guard.pair_report(now_s)
            if report is None:
                continue
            self._table.put(vm.name, 1, report)
            if report.wants_priors:
                priors = self._table.priors(vm.service)
                vm.guard.apply_priors(priors, now_s)

    def _submit(self) -> None:
        shape = self._shape
        low, high = shape.job_millicores
        mean_core_s = (low + high) / 2000.0 * MEAN_RUN_S
        cores = VMS * shape.capacity.millicores / 1000.0
        chance = LOAD * cores / mean_core_s * STEP_S
        if self._load.random() >= chance:
            return
        millicores = self._load.randint(low, high)
        run_s = self._load.expovariate(1.0 / MEAN_RUN_S)
        job_class = self._load.choice(JOB_CLASSES)
        if not self._batch:
            return
        self._jobs += 1
        job = Job(
            job_id=f"job-{self._jobs}",
            team="team",
            customer="customer",
            job_class=job_class,
            pool="pool",
            size=Size(millicores, MEMORY_BYTES, 0),
            run_time_s=run_s,
            command=f"run_s={run_s:.3f}",
        )
        self._waiting.append(Waiting(job))

    def _place(self, now_s: float) -> None:
        if not self._waiting:
            return
        views = self._views(now_s)
        left = []
        for waiting in self._waiting:
            job = waiting.job
            fitting = [v for v in views if job.size.fits(v.free)]
            choice = self._policy(job, fitting, self._choice)
            if choice is None:
                left.append(waiting)
                continue
            choice.free = choice.free - job.size
            choice.batch_classes.append(job.job_class)
            self._running[job.job_id] = waiting
            self.vms[choice.vm].start(
                job, waiting.attempt, waiting.checkpoint, now_s
            )
        self._waiting = left

    def _views(self, now_s: float) -> list[VmView]:
        views = []
        for vm in self.vms.values():
            guard = vm.guard
            if isinstance(guard, Guard) and not guard.accepts_batch(now_s):
                continue
            view = VmView(vm.name)
            view.capacity = vm.keeper.allocator.capacity
            view.free = vm.keeper.allocator.free
            view.reported_attempts = {
                task.job_id: task.attempt for task in vm.keeper.tasks.values()
            }
            view.batch_classes = [
                task.job_class for task in vm.keeper.tasks.values()
            ]
            view.service = vm.service
            view.pairs = self._table
            views.append(view)
        return views

    def _end(self, ended: TaskEnded) -> None:
        waiting = self._running.pop(ended.job_id)
        if ended.outcome == "done":
            self._done += 1
            return
        waiting.attempt += 1
        waiting.checkpoint = ended.checkpoint
        self._work_core_s -= RESTART_S * waiting.job.size.millicores / 1000.0
        self._waiting.append(waiting)

    def _measure(self, vm: SimulatedVm) -> None:
        slowdown = vm.model.slowdown
        for _ in range(LATENCIES_PER_STEP):
            alone = self._latency.lognormvariate(0.0, LATENCY_SIGMA)
            self._latencies.append(alone * slowdown)
        for task in vm.model.tasks.values():
            cores = task.size.millicores / 1000.0
            self._work_core_s += task.share * cores * STEP_S

    def _measured(self) -> Measured:
        latencies = sorted(self._latencies)
        evicted = [e for vm in self.vms.values() for e in vm.evicted]
        hits = 0
        for job_id, added in evicted:
            worst = max(added.values())
            hits += added[job_id] >= TRUE_CULPRIT_SHARE * worst
        turns = sum(vm.turns() for vm in self.vms.values())
        return Measured(
            p99=round(latencies[int(0.99 * len(latencies))], 3),
            work_core_s=round(self._work_core_s, 1),
            jobs_done=self._done,
            evictions=len(evicted),
            culprit_share=round(hits / max(1, len(evicted)), 3),
            turns_per_vm_min=round(turns / VMS / (RUN_S / 60.0), 3),
        )


def _faults(rng: random.Random) -> UsageFaults:
    begin_s = rng.uniform(0.0, RUN_S)
    return UsageFaults(
        lag_s=rng.uniform(0.8, 2.0),
        noise=0.08,
        spikes=0.02,
        lost=0.1,
        doubled=0.1,
        late=0.1,
        blackouts=[(begin_s, begin_s + 20.0)],
    )
