from __future__ import annotations

import asyncio
import math
import random
import time
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from yuccapoint.job.interference.pair_report import PairEstimate
from yuccapoint.job.interference.pair_report import PairReport
from yuccapoint.job.interference.pair_table import PairTable
from yuccapoint.job.job import Job
from yuccapoint.job.placement import interference_aware
from yuccapoint.job.records import JobSubmitted
from yuccapoint.job.size import Size
from yuccapoint.job.vm_view import VmView

if TYPE_CHECKING:
    from behave.runner import Context

    from yuccapoint.process.agent_process import AgentProcess

SEED = 3
WAIT_S = 25.0


def _report(revision: int, pairs: list[PairEstimate]) -> PairReport:
    return PairReport(revision=revision, wants_priors=False, pairs=pairs)


def _pair(service: str, job_class: str, slowdown: float) -> PairEstimate:
    return PairEstimate(service, job_class, slowdown, 0.1, 20.0)


def _job(job_class: str, command: str = "") -> Job:
    return Job(
        job_id=f"job-{job_class}",
        team="parish-sheets",
        customer="customer",
        job_class=job_class,
        pool="bulletin-desk",
        size=Size(4_000, 1 << 30, 0),
        run_time_s=1.0,
        command=command,
    )


@given("a pair table")
def pair_table(context: Context) -> None:
    context.pairs = PairTable()


@when("pair reports arrive")
def pair_reports(context: Context) -> None:
    for row in context.table:
        pair = _pair("quotes", "noisy", float(row["slowdown"]))
        report = _report(int(row["revision"]), [pair])
        context.pairs.put(row["vm"], int(row["incarnation"]), report)


@when("the pair table removes {vm}")
def pairs_remove(context: Context, vm: str) -> None:
    context.pairs.forget(vm)


@then("the pair table expects {slowdown:f} of {count:d} VMs")
def pairs_expect(context: Context, slowdown: float, count: int) -> None:
    expected = context.pairs.expected("quotes", "noisy")
    assert math.isclose(expected, slowdown, abs_tol=1e-6), expected
    prior = context.pairs.priors("quotes")[0]
    assert math.isclose(prior.count, 20.0 * count, abs_tol=1e-6), prior


@when("{count:d} pairs and an invalid one are reported")
def many_pairs(context: Context, count: int) -> None:
    invalid = PairEstimate("quotes", "invalid", math.nan, 0.1, 1e9)
    context.pairs.put("vm-x", 1, _report(1, [invalid]))
    for number in range(count):
        service = "quotes" if number % 10 == 0 else "prices"
        pair = _pair(service, f"class-{number}", 0.5)
        context.pairs.put(f"vm-{number}", 1, _report(1, [pair]))


@then("the pair table holds at most {most:d} pairs")
def pairs_bounded(context: Context, most: int) -> None:
    assert 0 < len(context.pairs) <= most, len(context.pairs)


@then("the priors are at most {most:d}, those of the service first")
def priors_bounded(context: Context, most: int) -> None:
    priors = context.pairs.priors("quotes")
    assert len(priors) == most, len(priors)
    assert all(prior.service == "quotes" for prior in priors)
    assert all(math.isfinite(prior.slowdown) for prior in priors)


@given("the guard received a prior of {slowdown:f} for class {job_class}")
def took_prior(context: Context, slowdown: float, job_class: str) -> None:
    prior = _pair("quotes", job_class, slowdown)
    context.guard.apply_priors([prior], context.now_s)


@then("the guard throttled {job_id} first")
def throttled_first(context: Context, job_id: str) -> None:
    limits = [job for _, job, share in context.vm.throttles if share < 1.0]
    assert limits[0] == job_id, context.vm.throttles


@when("the worker loses the guard's limits")
def worker_loses(context: Context) -> None:
    for task in context.vm.model.tasks.values():
        assert task.share < 1.0
        task.share = 1.0


@then("the worker applies the guard's limits")
def worker_applies(context: Context) -> None:
    for task in context.vm.model.tasks.values():
        assert task.share < 1.0


@given("VMs with services and estimates for class noisy")
def vms_with_services(context: Context) -> None:
    table = PairTable()
    context.views = []
    for row in context.table:
        pair = _pair(row["service"], "noisy", float(row["slowdown"]))
        table.put(row["vm"], 1, _report(1, [pair]))
        view = VmView(row["vm"])
        view.service = row["service"]
        view.free = Size(int(row["free"]), 1 << 34, 0)
        view.pairs = table
        context.views.append(view)


@then("a noisy job is placed on {vm}")
def noisy_placed(context: Context, vm: str) -> None:
    _assert_placed(context, "noisy", vm)


@then("a job of an unknown class is placed on {vm}")
def unknown_placed(context: Context, vm: str) -> None:
    _assert_placed(context, "unknown", vm)


def _assert_placed(context: Context, job_class: str, vm: str) -> None:
    rng = random.Random(SEED)
    choose = interference_aware.choose_interference_aware
    choice = choose(_job(job_class), context.views, rng)
    assert choice is not None
    assert choice.vm == vm, choice.vm


@when("a noisy job runs beside a guarded service")
def run_noisy(context: Context) -> None:
    entry = context.deployment.entries[0]
    record = JobSubmitted(_job("noisy", "run_s=60 noise=0.9"))
    context.loop.run_until_complete(
        entry.commits.commit(record, time.monotonic(), 5.0)
    )


async def _until(done: object) -> bool:
    assert callable(done)
    deadline_s = time.monotonic() + WAIT_S
    while time.monotonic() < deadline_s:
        if done():
            return True
        await asyncio.sleep(0.05)
    return False


@then(
    "all entries expect that class {job_class} slows {service} "
    "by more than {least:f}"
)
def entries_expect(
    context: Context, job_class: str, service: str, least: float
) -> None:
    def done() -> bool:
        return all(
            entry.leader.pairs.expected(service, job_class) > least
            for entry in context.deployment.entries
        )

    assert context.loop.run_until_complete(_until(done))


@then("the other agent's guard has received the estimate")
def estimate_received(context: Context) -> None:
    agents: list[AgentProcess] = [
        machine.agent for machine in context.deployment.vms
    ]
    idle = next(agent for agent in agents if not agent.task_manager.tasks)

    def done() -> bool:
        return idle.guard.estimator.weight("noisy") > 0.3

    assert context.loop.run_until_complete(_until(done))
