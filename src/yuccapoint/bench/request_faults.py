"""The request path on real sockets under single faults and pairs."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import random
import time
from typing import TYPE_CHECKING

import msgspec
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest

from yuccapoint.job.records import RouteEdited
from yuccapoint.process.caller_server import CUSTOMER_HEADER
from yuccapoint.process.caller_server import KEY_HEADER
from yuccapoint.process.caller_server import TIMEOUT_HEADER
from yuccapoint.process.caller_server import VERDICT_HEADER
from yuccapoint.version.route import Route

if TYPE_CHECKING:
    from yuccapoint_standins.deployment import Deployment
    from yuccapoint_standins.deployment import StandInVm

VM_COUNT = 3
ENTRY_COUNT = 2
GROUPS_PER_ROUND = 24
SEND_SPREAD_S = 0.2
FAULT_DELAY_S = 0.05
FAULT_DURATION_S = 0.15
REQUEST_TIMEOUT_S = 0.4
CLIENT_TIMEOUT_S = 3.0
SHORT_CLIENT_TIMEOUT_S = 0.02
SHORT_TIMEOUT_SHARE = 0.1
SLOW_SERVICE_S = 0.8
SMALL_BODY_BYTES = 2_000
LARGE_BODY_BYTES = 300_000
SETTLE_S = 1.0
HTTP_OK = 200

Fault = Callable[["Deployment", random.Random], Awaitable[None]]
FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault that begins and ends within a round."""

    def register(inject: Fault) -> Fault:
        FAULTS[name] = inject
        return inject

    return register


def _live_machines(deployment: Deployment) -> list[StandInVm]:
    return [machine for machine in deployment.vms if machine.agent.alive]


@fault("cut sessions")
async def _close_sessions(deployment: Deployment, rng: random.Random) -> None:
    for _ in range(4):
        machine = rng.choice(_live_machines(deployment))
        machine.agent._requests.close_all()
        await asyncio.sleep(FAULT_DURATION_S / 4)


@fault("endpoint drops connections")
async def _drop_connections(
    deployment: Deployment, rng: random.Random
) -> None:
    for _ in range(4):
        machine = rng.choice(_live_machines(deployment))
        await machine.endpoint._server.close_all_connections()
        await asyncio.sleep(FAULT_DURATION_S / 4)


@fault("agent restarts")
async def _restart_agent(deployment: Deployment, rng: random.Random) -> None:
    deployment.restart_agent(rng.choice(_live_machines(deployment)))
    await asyncio.sleep(FAULT_DURATION_S)


@fault("entry dies")
async def _restart_entry(deployment: Deployment, rng: random.Random) -> None:
    del rng
    deployment.entries[1].kill()
    await asyncio.sleep(FAULT_DURATION_S)
    entry = deployment.add_entry(1)
    deployment.entries.remove(entry)
    deployment.entries[1] = entry


@fault("slow endpoint")
async def _slow_endpoint(deployment: Deployment, rng: random.Random) -> None:
    machine = rng.choice(_live_machines(deployment))
    normal_work_s = machine.endpoint.service_time_s
    machine.endpoint.service_time_s = SLOW_SERVICE_S
    await asyncio.sleep(FAULT_DURATION_S)
    machine.endpoint.service_time_s = normal_work_s


@fault("endpoint fails everything")
async def _fail_endpoint(deployment: Deployment, rng: random.Random) -> None:
    machine = rng.choice(_live_machines(deployment))
    machine.endpoint.failing = True
    await asyncio.sleep(FAULT_DURATION_S)
    machine.endpoint.failing = False


@fault("log answers lost")
async def _lose_log_answers(
    deployment: Deployment, rng: random.Random
) -> None:
    del rng
    deployment.log.faults.lost_answers = 0.5
    await asyncio.sleep(FAULT_DURATION_S)
    deployment.log.faults.lost_answers = 0.0


@fault("log down")
async def _stop_log(deployment: Deployment, rng: random.Random) -> None:
    del rng
    deployment.log.faults.down = True
    await asyncio.sleep(FAULT_DURATION_S)
    deployment.log.faults.down = False


@fault("VM dies")
async def _replace_vm(deployment: Deployment, rng: random.Random) -> None:
    rng.choice(_live_machines(deployment)).crash()
    await asyncio.sleep(FAULT_DURATION_S)
    deployment.add_vm(len(deployment.vms))


class FaultFigures(msgspec.Struct):
    """Counts over all rounds; the first five are violations and must be 0."""

    duplicate_runs: int = 0
    false_not_run: int = 0
    crossed_answers: int = 0
    truncated_answers: int = 0
    cross_customer: int = 0
    rounds: int = 0
    sent: int = 0
    answered: int = 0
    told_not_run: int = 0
    told_may_have_run: int = 0
    broken_off: int = 0


class FaultRounds:
    """Sends requests under faults and checks runs and responses.

    Parameters
    ----------
    deployment : Deployment
        The processes under test.
    seed : int
        Seed of the load and the faults.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.figures = FaultFigures()
        self._deployment = deployment
        self._rng = random.Random(seed)
        self._single_run_groups: dict[str, list[str]] = {}
        self._paths_by_key: dict[str, str] = {}
        self._told_not_run: set[str] = set()
        self._client = AsyncHTTPClient(
            force_instance=True, max_clients=1_000, max_body_size=1 << 30
        )

    async def run(self) -> FaultFigures:
        """Run each fault alone, then each pair, then repeat all keys."""
        fault_sets = [[name] for name in FAULTS]
        fault_sets += [
            list(pair) for pair in itertools.combinations(FAULTS, 2)
        ]
        for fault_set in fault_sets:
            await self._run_round(fault_set)
        await self._repeat_keys()
        await asyncio.sleep(SETTLE_S)
        self._check_runs()
        self._client.close()
        return self.figures

    async def _run_round(self, names: list[str]) -> None:
        self.figures.rounds += 1
        groups = [
            asyncio.ensure_future(self._send_group(number))
            for number in range(GROUPS_PER_ROUND)
        ]
        await asyncio.sleep(FAULT_DELAY_S)
        rngs = [random.Random(self._rng.random()) for _ in names]
        faults = [
            FAULTS[name](self._deployment, rng)
            for name, rng in zip(names, rngs, strict=True)
        ]
        await asyncio.gather(*faults)
        await asyncio.gather(*groups)

    async def _repeat_keys(self) -> None:
        limit = asyncio.Semaphore(GROUPS_PER_ROUND)

        async def repeat(group: str) -> None:
            copy = f"{group}-late"
            self._single_run_groups[group].append(copy)
            rng = random.Random(self._rng.random())
            async with limit:
                await self._send_request(
                    copy, self._paths_by_key[group], group, rng
                )

        await asyncio.gather(*(repeat(group) for group in self._paths_by_key))

    async def _send_group(self, number: int) -> None:
        rng = random.Random(self._rng.random())
        group = f"g{self.figures.rounds}-{number}"
        path = ("/quotes", "/watches", "/standing")[number % 3]
        keyed = path != "/quotes" and rng.random() < 0.7
        await asyncio.sleep(rng.uniform(0, SEND_SPREAD_S))
        copies = [f"{group}-{copy}" for copy in range(3 if keyed else 1)]
        if path != "/quotes":
            self._single_run_groups[group] = copies
        if keyed:
            self._paths_by_key[group] = f"{path}/x"
        sends = []
        for copy in copies:
            key = group if keyed else ""
            sends.append(self._send_request(copy, f"{path}/x", key, rng))
        await asyncio.gather(*sends)

    async def _send_request(
        self, name: str, path: str, key: str, rng: random.Random
    ) -> None:
        await asyncio.sleep(rng.choice((0.0, 0.0, 0.05, 0.2)))
        customer = f"customer-{rng.randrange(3)}"
        if key:
            customer = "customer-keyed"
        size = LARGE_BODY_BYTES if rng.random() < 0.1 else SMALL_BODY_BYTES
        body = f"{customer}|{name}|".encode() + rng.randbytes(size)
        entry = rng.choice(self._deployment.entries)
        headers = {
            "Content-Type": "application/octet-stream",
            "X-Request-Name": name,
            CUSTOMER_HEADER: customer,
            TIMEOUT_HEADER: str(REQUEST_TIMEOUT_S),
        }
        if key:
            headers[KEY_HEADER] = key
        timeout_s = CLIENT_TIMEOUT_S
        if rng.random() < SHORT_TIMEOUT_SHARE:
            timeout_s = SHORT_CLIENT_TIMEOUT_S
        request = HTTPRequest(
            f"http://{entry.settings.listen.caller_address}{path}",
            method="POST",
            headers=headers,
            body=body,
            request_timeout=timeout_s,
        )
        self.figures.sent += 1
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError):
            self.figures.broken_off += 1
            return
        verdict = response.headers.get(VERDICT_HEADER, "")
        if verdict == "not-run":
            self.figures.told_not_run += 1
            self._told_not_run.add(name)
        if verdict == "may-have-run":
            self.figures.told_may_have_run += 1
        if verdict == "ran" and response.code == HTTP_OK:
            self._check_response(response.body, body, customer)

    def _check_response(
        self, received: bytes, sent: bytes, customer: str
    ) -> None:
        self.figures.answered += 1
        if received == sent:
            return
        if sent.startswith(received):
            self.figures.truncated_answers += 1
            return
        self.figures.crossed_answers += 1
        if not received.startswith(customer.encode() + b"|"):
            self.figures.cross_customer += 1

    def _check_runs(self) -> None:
        runs: dict[str, int] = {}
        for machine in self._deployment.vms:
            for name, count in machine.endpoint.runs.items():
                runs[name] = runs.get(name, 0) + count
        for copies in self._single_run_groups.values():
            count = sum(runs.get(copy, 0) for copy in copies)
            self.figures.duplicate_runs += max(0, count - 1)
        for name in self._told_not_run:
            self.figures.false_not_run += runs.get(name, 0) > 0


async def run_faults(name: str, seed: int) -> FaultFigures:
    """Start a deployment and run all fault rounds."""
    from yuccapoint_standins.deployment import Deployment
    from yuccapoint_standins.deployment import SPECS_BY_NAME

    deployment = Deployment(SPECS_BY_NAME[name], VM_COUNT, ENTRY_COUNT, seed)
    await deployment.start()
    try:
        await _set_routes(deployment)
        return await FaultRounds(deployment, seed).run()
    finally:
        deployment.close()


async def _set_routes(deployment: Deployment) -> None:
    spec = deployment.spec
    routes = [
        Route(
            name="bench-watches",
            prefix="/watches/x",
            service=spec.service,
            pool=spec.pool,
            once="log",
        ),
        Route(
            name="bench-standing",
            prefix="/standing/x",
            service=spec.service,
            pool=spec.pool,
            once="agent",
        ),
        Route(
            name="bench-quotes",
            prefix="/quotes/x",
            service=spec.service,
            pool=spec.pool,
            idempotent=True,
            hedge_after_s=0.05,
        ),
    ]
    entry = deployment.entries[0]
    for route in routes:
        edit = RouteEdited(route.name, 0, route.name, "bench", route)
        await entry.commits.commit(edit, time.monotonic(), 5.0)
    version = entry.cell.tables.version
    while any(
        peer.cell.tables.version < version for peer in deployment.entries
    ):
        await asyncio.sleep(0.05)
