"""``bench requests``: endpoint choice, limits, faults and path cost."""

from __future__ import annotations

import asyncio
import random
import time

import msgspec

from yuccapoint.bench.model_request import percentile_ms
from yuccapoint.bench.registry import bench
from yuccapoint.bench.request_faults import FaultFigures
from yuccapoint.bench.request_faults import run_faults
from yuccapoint.bench.request_model import RequestModel
from yuccapoint.bench.request_path import measure_path
from yuccapoint.bench.request_path import PathFigures
from yuccapoint.connection.messages import AgentReport
from yuccapoint.connection.messages import EndpointReport
from yuccapoint.job.size import Size
from yuccapoint.request.router import Router
from yuccapoint.request.selection.registry import SELECTION_POLICIES
from yuccapoint.version.route import Route

MEAN_SERVICE_S = {"caribfert": 0.04, "cyfiawn": 0.06}
LOAD_S = 4.0
FLOOD_PHASE_S = 10.0
SETTLE_S = 2.0
NORMAL_LOAD = 0.7
FULL_LOAD = 0.9
OVERLOAD_FACTOR = 3.0
DECISIONS_PER_ROUND = 2_000
DECISION_ROUNDS = 9
ENDPOINT_COUNTS = (10, 1_000, 10_000)


class PolicyFigures(msgspec.Struct, frozen=True):
    """Latency and answered share of one policy under the common load."""

    policy: str
    p50_ms: float
    p99_ms: float
    answered_ratio: float


class DecisionFigures(msgspec.Struct, frozen=True):
    """Processor time of one decision among a number of endpoints."""

    endpoints: int
    route_decision_us: float


class RequestFigures(msgspec.Struct, frozen=True):
    """Results of ``bench requests``."""

    deployment: str
    seed: int
    goodput_ratio: float
    refusal_p99_ms: float
    victim_tail_ratio: float
    retry_amplification: float
    failing_answered_ratio: float
    duplicate_runs: int
    false_not_run: int
    crossed_answers: int
    truncated_answers: int
    cross_customer: int
    path_cost_ratio: float
    cross_region_bytes_ratio: float
    route_decision_us: list[DecisionFigures]
    route_decision_growth: float
    policies: list[PolicyFigures]
    faults: FaultFigures
    path: PathFigures


@bench("requests")
def measure_requests(deployment: str, seed: int) -> msgspec.Struct:
    """Measure the request path.

    Parameters
    ----------
    deployment : str
        ``caribfert`` or ``cyfiawn``.
    seed : int
        Seed of the load and the endpoint choices.
    """
    work_s = MEAN_SERVICE_S[deployment]
    goodput_ratio, refusal_p99_ms = _measure_overload(work_s, seed)
    amplification, answered = _measure_failing_third(work_s, seed)
    faults = asyncio.run(run_faults(deployment, seed))
    path = asyncio.run(measure_path(deployment, seed))
    decisions = _measure_decisions(seed)
    growth = decisions[-1].route_decision_us / decisions[0].route_decision_us
    return RequestFigures(
        deployment=deployment,
        seed=seed,
        goodput_ratio=goodput_ratio,
        refusal_p99_ms=refusal_p99_ms,
        victim_tail_ratio=_victim_tail_ratio(work_s, seed),
        retry_amplification=amplification,
        failing_answered_ratio=answered,
        duplicate_runs=faults.duplicate_runs,
        false_not_run=faults.false_not_run,
        crossed_answers=faults.crossed_answers,
        truncated_answers=faults.truncated_answers,
        cross_customer=faults.cross_customer,
        path_cost_ratio=path.path_cost_ratio,
        cross_region_bytes_ratio=path.session_bytes_ratio,
        route_decision_us=decisions,
        route_decision_growth=growth,
        policies=[
            _measure_policy(name, work_s, seed) for name in SELECTION_POLICIES
        ],
        faults=faults,
        path=path,
    )


def _measure_policy(name: str, work_s: float, seed: int) -> PolicyFigures:
    model = RequestModel(name, work_s, seed)
    model.schedule_load("c", NORMAL_LOAD * model.capacity_per_s, 0.0, LOAD_S)
    model.run(LOAD_S + SETTLE_S)
    answered = sum(outcome.answered for outcome in model.outcomes)
    return PolicyFigures(
        name,
        round(percentile_ms(model.outcomes, 0.5), 2),
        round(percentile_ms(model.outcomes, 0.99), 2),
        round(answered / model.requests, 4),
    )


def _measure_overload(work_s: float, seed: int) -> tuple[float, float]:
    normal, _ = _measure_goodput(1.0, work_s, seed)
    overloaded, refusal_p99_ms = _measure_goodput(
        OVERLOAD_FACTOR, work_s, seed
    )
    return round(overloaded / normal, 3), refusal_p99_ms


def _measure_goodput(
    factor: float, work_s: float, seed: int
) -> tuple[float, float]:
    model = RequestModel("balanced", work_s, seed)
    rate_per_s = factor * FULL_LOAD * model.capacity_per_s
    model.schedule_load("c", rate_per_s, 0.0, LOAD_S)
    model.run(LOAD_S + SETTLE_S)
    answered = sum(outcome.answered for outcome in model.outcomes)
    refused = sorted(o.latency_s for o in model.outcomes if o.refused)
    p99_s = refused[int(0.99 * len(refused))] if refused else 0.0
    return answered / LOAD_S, round(p99_s * 1000, 2)


def _victim_tail_ratio(work_s: float, seed: int) -> float:
    model = RequestModel("balanced", work_s, seed)
    capacity_per_s = model.capacity_per_s
    for phase in range(2):
        rng = random.Random(seed)
        from_s = phase * FLOOD_PHASE_S
        rate_per_s = 0.2 * capacity_per_s
        model.schedule_load(
            "victim", rate_per_s, from_s, from_s + FLOOD_PHASE_S, rng
        )
    model.schedule_load("flood", 0.4 * capacity_per_s, 0.0, FLOOD_PHASE_S)
    model.schedule_load(
        "flood",
        OVERLOAD_FACTOR * capacity_per_s,
        FLOOD_PHASE_S,
        2 * FLOOD_PHASE_S,
    )
    flood_s = model.now_s + FLOOD_PHASE_S
    model.run(2 * FLOOD_PHASE_S + SETTLE_S)
    victim = [o for o in model.outcomes if o.customer == "victim"]
    before = [o for o in victim if o.sent_s < flood_s]
    during = [o for o in victim if o.sent_s >= flood_s]
    ratio = percentile_ms(during, 0.99) / percentile_ms(before, 0.99)
    return round(ratio, 3)


def _measure_failing_third(work_s: float, seed: int) -> tuple[float, float]:
    model = RequestModel("balanced", work_s, seed)
    for endpoint in model.endpoints[::3]:
        endpoint.failing = True
    model.schedule_load("c", 0.4 * model.capacity_per_s, 0.0, LOAD_S)
    model.run(LOAD_S + SETTLE_S)
    answered = sum(outcome.answered for outcome in model.outcomes)
    return (
        round(model.attempts / model.requests, 4),
        round(answered / model.requests, 4),
    )


def _measure_decisions(seed: int) -> list[DecisionFigures]:
    routers = {count: _make_router(count, seed) for count in ENDPOINT_COUNTS}
    best_s = dict.fromkeys(ENDPOINT_COUNTS, float("inf"))
    for _ in range(DECISION_ROUNDS):
        for count, router in routers.items():
            best_s[count] = min(best_s[count], _decision_time_s(router))
    return [
        DecisionFigures(
            count, round(best_s[count] / DECISIONS_PER_ROUND * 1e6, 2)
        )
        for count in ENDPOINT_COUNTS
    ]


def _make_router(count: int, seed: int) -> Router:
    router = Router("a", "r", random.Random(seed), "entry-1")
    router.entry_count = max(1, count // 100)
    for number in range(count):
        router.on_report(_make_report(number), 1.0)
    return router


def _decision_time_s(router: Router) -> float:
    route = Route(name="r", prefix="/", service="s", pool="p")
    started_s = time.process_time()
    for _ in range(DECISIONS_PER_ROUND):
        router.choose(route, set(), 1.5)
    return time.process_time() - started_s


def _make_report(number: int) -> AgentReport:
    return AgentReport(
        vm=f"vm-{number}",
        incarnation=1,
        sequence=1,
        term=1,
        requested_leader="",
        leader="",
        pool="p",
        data_centre="a",
        region="r",
        rack="",
        control_address="",
        session_address="",
        capacity=Size(),
        free=Size(),
        ready=True,
        stopping=False,
        tables_version=1,
        endpoints=[EndpointReport("e", "s", "ready", 8, 0, 0)],
        tasks=[],
    )
