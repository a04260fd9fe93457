from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from yuccapoint.bench.simulated_vm import SimulatedVm
from yuccapoint.job.guard import Guard
from yuccapoint.job.interference.neighbour import Neighbour
from yuccapoint.job.interference.neighbour_history import NeighbourHistory
from yuccapoint.job.interference.sample_filter import SampleFilter
from yuccapoint.job.interference.slowdown_estimator import SlowdownEstimator
from yuccapoint.job.job import Job
from yuccapoint.job.size import Size
from yuccapoint.job.worker_events import UsageSample
from yuccapoint_standins.hidden_interference import HiddenInterference
from yuccapoint_standins.lagging_usage import LaggingUsage
from yuccapoint_standins.lagging_usage import UsageFaults

if TYPE_CHECKING:
    from behave.runner import Context

SEED = 5
STEP_S = 0.25
TRUE_WEIGHT = 0.8


class ServiceLoad(HiddenInterference):
    """Interference without pairs; only the service's own slowdown."""

    def __init__(self) -> None:
        super().__init__(SEED)
        self.own_slowdown = 0.0

    def slowdown(self, service: str, job_class: str, at_s: float) -> float:
        return 0.0

    def own_load_slowdown(self, vm: str, at_s: float) -> float:
        return self.own_slowdown


@given("a guarded VM with tail weight {tail:d} and eviction weight {evict:d}")
def guarded_vm(context: Context, tail: int, evict: int) -> None:
    vm = SimulatedVm("vm-1", "quotes", Size(64_000, 1 << 38, 0))
    context.guard = Guard(vm.task_manager)
    context.guard.configure("quotes", float(tail), float(evict))
    vm.guard = context.guard
    context.load = ServiceLoad()
    vm.model.interference = context.load
    _measure(vm, noise=0.05)
    context.vm = vm
    context.now_s = 0.0
    context.jobs = {}
    context.slowed = []
    context.evicted_at = []


def _measure(vm: SimulatedVm, **faults: float) -> None:
    vm.model.usage_samples = LaggingUsage(
        UsageFaults(**faults), random.Random(SEED)
    )


@given("guarded measurements that are lost, late, duplicated and noisy")
def faulty_measurements(context: Context) -> None:
    _measure(
        context.vm, noise=0.1, lost=0.2, late=0.2, doubled=0.2, spikes=0.03
    )


@given("guarded tasks beside the service")
def guarded_tasks(context: Context) -> None:
    for row in context.table:
        job = Job(
            job_id=row["job"],
            team="team",
            customer="customer",
            job_class=row["class"],
            pool="pool",
            size=Size(4_000, 1 << 30, 0),
            run_time_s=1.0,
            command=f"run_s=1000 noise={row['noise']}",
        )
        context.jobs[job.job_id] = job
        context.vm.start(job, 1, "", context.now_s)


def _run(
    context: Context,
    run_s: float,
    *,
    period_s: float = 0.0,
    restart: bool = False,
) -> None:
    vm = context.vm
    noises = {t.job_id: t.noise for t in vm.model.tasks.values()}
    until_s = context.now_s + run_s
    while context.now_s < until_s:
        context.now_s += STEP_S
        if period_s:
            low = math.sin(math.tau * context.now_s / period_s) < 0
            for task in vm.model.tasks.values():
                task.noise = 0.0 if low else noises[task.job_id]
        for end in vm.step(context.now_s):
            context.evicted_at.append((context.now_s, end.job_id))
            if restart:
                job = context.jobs[end.job_id]
                attempt = end.attempt + 1
                vm.start(job, attempt, end.checkpoint, context.now_s)
        context.slowed.append((context.now_s, vm.model.slowdown))
        for explained in vm.explained:
            explained.fields.setdefault("at_s", context.now_s)


@when("the guard runs for {run_s:d} s")
def run_guard(context: Context, run_s: int) -> None:
    _run(context, run_s)


@when(
    "the guard runs for {run_s:d} s under interference "
    "with a period of {period_s:d} s"
)
def run_with_period(context: Context, run_s: int, period_s: int) -> None:
    _run(context, run_s, period_s=period_s)


@when("the guarded tasks are restarted after each eviction for {run_s:d} s")
def run_with_restarts(context: Context, run_s: int) -> None:
    _run(context, run_s, restart=True)


@when("the guarded measurements stop")
def measurements_stop(context: Context) -> None:
    blackouts = [(context.now_s, math.inf)]
    context.vm.model.usage_samples.faults = UsageFaults(blackouts=blackouts)


@when("the guarded measurements become invalid")
def measurements_invalid(context: Context) -> None:
    _measure(context.vm, lost=1.0)
    bad = [
        UsageSample(math.nan, 9.0, []),
        UsageSample(context.now_s, math.nan, ["calm"]),
        UsageSample(context.now_s, -3.0, ["calm"]),
        UsageSample(context.now_s + 1e6, 9.0, ["calm"]),
        UsageSample(context.now_s, 9.0, ["unknown"]),
    ]
    context.vm.model.usage = lambda now_s: bad


@when("the guarded service is slowed by {slowdown:f} on its own")
def service_slows(context: Context, slowdown: float) -> None:
    context.load.own_slowdown = slowdown


@when("the guarded tasks stop interfering")
def interference_ends(context: Context) -> None:
    for task in context.vm.model.tasks.values():
        task.noise = 0.0


@then("the guard evicted at most {count:d} tasks, all of class {job_class}")
def evicted_at_most(context: Context, count: int, job_class: str) -> None:
    evicted = [job_id for job_id, _ in context.vm.evicted]
    assert len(evicted) <= count, evicted
    for job_id in evicted:
        assert context.jobs[job_id].job_class == job_class, evicted


@then("the guard left class {job_class} at full share")
def full_share(context: Context, job_class: str) -> None:
    found = [
        task.share
        for task in context.vm.model.tasks.values()
        if task.job_class == job_class
    ]
    assert found
    assert all(share == 1.0 for share in found), found


@then(
    "the slowdown of the guarded service stayed below {most:f} "
    "in the last {last:d} s"
)
def slowed_less(context: Context, most: float, last: int) -> None:
    since_s = context.now_s - last
    worst = max(s for at_s, s in context.slowed if at_s >= since_s)
    assert worst < most, worst


@then("the guard reversed a throttle at most {count:d} times a minute")
def reversed_at_most(context: Context, count: int) -> None:
    throttle_reversals = context.vm.throttle_reversals() / (
        context.now_s / 60.0
    )
    assert throttle_reversals <= count, context.vm.throttles


@then("the guard took no action in the last {last:d} s")
def no_action(context: Context, last: int) -> None:
    since_s = context.now_s - last
    late = [
        explained.text
        for explained in context.vm.explained
        if explained.fields["at_s"] > since_s
    ]
    assert not late, late


@then("the guarded VM accepts no new batch work")
def accepts_no_batch(context: Context) -> None:
    assert not context.guard.accepts_batch(context.now_s)


@then("the guard evicted no job twice within {floor:d} s")
def eviction_floor(context: Context, floor: int) -> None:
    times = [at_s for at_s, _ in context.evicted_at]
    assert times, "never evicted"
    for earlier, later in zip(times, times[1:], strict=False):
        assert later - earlier >= floor, times


@then("the guard is {state}")
def guard_state(context: Context, state: str) -> None:
    assert context.guard.state.value == state, context.guard.state


@given("guarded samples of a noisy task that runs intermittently")
def intermittent_samples(context: Context) -> None:
    rng = random.Random(SEED)
    context.history = NeighbourHistory()
    context.samples = []
    for tick in range(240):
        at_s = tick * STEP_S
        present = (tick // 20) % 2 == 1
        neighbours = [Neighbour("loud", "noisy", 1.0)] if present else []
        context.history.record(neighbours, at_s)
        slowdown = 1.0 + TRUE_WEIGHT * present + rng.gauss(0.0, 0.05)
        jobs = ["loud"] if present else []
        context.samples.append(UsageSample(at_s, slowdown, jobs))


@when("the guarded samples arrive {how}")
def samples_arrive(context: Context, how: str) -> None:
    rng = random.Random(SEED)
    sample_filter = SampleFilter()
    context.estimator = SlowdownEstimator()
    for first in range(0, len(context.samples), 16):
        part = context.samples[first : first + 16]
        if how == "doubled":
            part = part + part
        if how == "shuffled":
            rng.shuffle(part)
        now_s = part[-1].described_at_s + 5.0
        for sample in sample_filter.accept(part, now_s):
            neighbours = context.history.at(sample.described_at_s)
            context.estimator.update(
                neighbours, sample.service_slowdown, sample.described_at_s
            )


@then("the estimate of the noisy class is within {most:f} of the true value")
def estimate_close(context: Context, most: float) -> None:
    weight = context.estimator.weight("noisy")
    assert abs(weight - TRUE_WEIGHT) <= most, weight
