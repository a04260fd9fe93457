"""Planned stops of each role under load, over loopback sockets."""

from __future__ import annotations

import asyncio
import random
import time

from yuccapoint_standins.caller_load import CallerLoad
from yuccapoint_standins.deployment import Deployment
from yuccapoint_standins.deployment import SPECS_BY_NAME
from yuccapoint_standins.invariant_checker import InvariantChecker

VM_COUNT = 4
ENTRY_COUNT = 3
LOAD_DURATION_S = 4.5
REQUESTS_PER_S = 100.0
READINESS_PROBE_S = 1.0
SAMPLE_INTERVAL_S = 0.02


class StopTrial:
    """Stops an endpoint, an agent and an entry in turn under load.

    Attributes
    ----------
    cut : int
        Requests of the load that may have run without a complete
        response, plus those that a stopping process reported as cut off.
    refused : int
        Requests that were refused without being run.
    max_work_after_leave_s : float
        Longest time from the stop request to the last start of a request
        at the leaving endpoint, in seconds.
    """

    def __init__(self, deployment: str, seed: int) -> None:
        self.cut = 0
        self.max_work_after_leave_s = 0.0
        self.sent = 0
        self.refused = 0
        self._rng = random.Random(seed)
        self._deployment_name = deployment
        self._seed = seed
        self._deployment: Deployment

    async def run(self) -> None:
        """Stop each role once and count the affected requests."""
        # Sockets are bound to the running event loop, so the deployment
        # cannot be created in the constructor.
        self._deployment = Deployment(
            SPECS_BY_NAME[self._deployment_name],
            VM_COUNT,
            ENTRY_COUNT,
            self._seed,
        )
        await self._deployment.start()
        vms = self._deployment.vms
        # One load for all stops, because it numbers its request keys.
        load = self._new_load()
        for role in ("endpoint", "agent", "entry"):
            sending = asyncio.ensure_future(self._send_load(load))
            await asyncio.sleep(0.5)
            if role == "entry":
                await self._stop_entry()
            else:
                machine = vms[0 if role == "endpoint" else 1]
                stop = (
                    machine.endpoint.leave
                    if role == "endpoint"
                    else machine.agent.stop
                )
                tracking = asyncio.ensure_future(
                    self._track_new_work(machine.endpoint.runs)
                )
                self.cut += len(await stop() or [])
                await tracking
            await sending
        self.sent = load.sent
        self.cut += load.unknown
        self.refused = len(load.not_run)
        load.close()
        self._deployment.close()

    def _new_load(self) -> CallerLoad:
        checker = InvariantChecker(self._deployment)
        return CallerLoad(self._deployment, checker, self._rng)

    async def _send_load(self, load: CallerLoad) -> None:
        tables = self._deployment.entries[0].cell.tables.current
        until_s = time.monotonic() + LOAD_DURATION_S
        rate_per_s = REQUESTS_PER_S / len(tables.routes)
        await asyncio.gather(
            *(
                load.run(
                    route.prefix,
                    rate_per_s,
                    until_s,
                    idempotent=route.idempotent,
                )
                for route in tables.routes.values()
            )
        )

    async def _stop_entry(self) -> None:
        entry = self._deployment.entries[-1]
        stopping = asyncio.ensure_future(entry.stop())
        # The load balancer removes the entry once a readiness probe fails.
        await asyncio.sleep(READINESS_PROBE_S)
        self._deployment.entries.remove(entry)
        self.cut += len(await stopping)

    async def _track_new_work(self, runs: dict[str, int]) -> None:
        """Record when a request last started at an endpoint."""
        started_s = time.monotonic()
        seen_count = sum(runs.values())
        while time.monotonic() < started_s + LOAD_DURATION_S - 1.0:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            run_count = sum(runs.values())
            if run_count > seen_count:
                seen_count = run_count
                elapsed_s = time.monotonic() - started_s
                self.max_work_after_leave_s = max(
                    self.max_work_after_leave_s, elapsed_s
                )
