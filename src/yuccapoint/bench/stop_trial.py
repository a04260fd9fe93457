"""Planned stops of each role under load, with sockets on loopback."""

from __future__ import annotations

import asyncio
import random
import time

from yuccapoint_standins.caller_load import CallerLoad
from yuccapoint_standins.deployment import Deployment
from yuccapoint_standins.deployment import SPECS_BY_NAME
from yuccapoint_standins.invariant_checker import InvariantChecker

VMS = 4
ENTRIES = 3
LOAD_S = 4.5
RATE_PER_S = 100.0
PROBE_S = 1.0
SAMPLE_S = 0.02


class StopTrial:
    """Stops an endpoint, an agent and an entry, one after the other.

    Attributes
    ----------
    cut : int
        Requests of the load that may have run and got no whole answer,
        and what a stopped process said that it cut.
    refused : int
        Requests that were refused as not run.
    new_work_s : float
        Longest time from the word to leave to the last start of work
        at the endpoint that left, in seconds.
    """

    def __init__(self, name: str, seed: int) -> None:
        self.cut = 0
        self.new_work_s = 0.0
        self.sent = 0
        self.refused = 0
        self._rng = random.Random(seed)
        self._name = name
        self._seed = seed
        self._deployment: Deployment

    async def run(self) -> None:
        """Run all three stops."""
        # Its sockets belong to the loop that runs now.
        self._deployment = Deployment(
            SPECS_BY_NAME[self._name], VMS, ENTRIES, self._seed
        )
        await self._deployment.start()
        vms = self._deployment.vms
        # One load for all, as its keys are counted.
        load = self._load()
        for role in ("endpoint", "agent", "entry"):
            loading = asyncio.ensure_future(self._send(load))
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
                watching = asyncio.ensure_future(
                    self._watch(machine.endpoint.runs)
                )
                self.cut += len(await stop() or [])
                await watching
            await loading
        self.sent = load.sent
        self.cut += load.unknown
        self.refused = len(load.not_run)
        load.close()
        self._deployment.close()

    def _load(self) -> CallerLoad:
        checker = InvariantChecker(self._deployment)
        return CallerLoad(self._deployment, checker, self._rng)

    async def _send(self, load: CallerLoad) -> None:
        tables = self._deployment.entries[0].cell.tables.current
        until_s = time.monotonic() + LOAD_S
        rate_per_s = RATE_PER_S / len(tables.routes)
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
        # The balancer turns away when it has seen the entry not ready.
        await asyncio.sleep(PROBE_S)
        self._deployment.entries.remove(entry)
        self.cut += len(await stopping)

    async def _watch(self, runs: dict[str, int]) -> None:
        """Note when work last began at an endpoint."""
        began_s = time.monotonic()
        count = sum(runs.values())
        while time.monotonic() < began_s + LOAD_S - 1.0:
            await asyncio.sleep(SAMPLE_S)
            newest = sum(runs.values())
            if newest > count:
                count = newest
                late_s = time.monotonic() - began_s
                self.new_work_s = max(self.new_work_s, late_s)
