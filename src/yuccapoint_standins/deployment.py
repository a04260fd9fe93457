"""A complete deployment on loopback, in one process."""

from __future__ import annotations

import asyncio
import itertools
import os
import pathlib
import random
import socket
import time
from typing import TYPE_CHECKING

from yuccapoint.job.records import PoolEdited
from yuccapoint.job.records import RouteEdited
from yuccapoint.job.size import Size
from yuccapoint.process.agent_process import AgentProcess
from yuccapoint.process.endpoint_registry import Announcement
from yuccapoint.process.entry_process import EntryProcess
from yuccapoint.process.settings.checker import load_tables
from yuccapoint.process.settings.loader import parse_settings
from yuccapoint.process.settings.sections import AgentSettings
from yuccapoint.process.settings.sections import EntrySettings
from yuccapoint_standins.endpoint_service import EndpointService
from yuccapoint_standins.log_service import LogService
from yuccapoint_standins.worker_service import WorkerService

if TYPE_CHECKING:
    from yuccapoint.process.settings.checker import TablesFile

GIB = 1 << 30
READY_TIMEOUT_S = 15.0
RACK_SIZE = 3
FIRST_PORT = 10_000
LAST_PORT = 32_000
_port_numbers = itertools.count(os.getpid() * 61)


class DeploymentSpec:
    """Names and sizes of a deployment.

    Attributes
    ----------
    data_centres : list of str
        Data centres; all but the last lie in the first region.
    regions : list of str
        Regions of the data centres, in the same order.
    """

    __slots__ = (
        "capacity",
        "data_centres",
        "name",
        "pool",
        "regions",
        "service",
        "service_time_s",
    )

    def __init__(
        self,
        name: str,
        data_centres: list[str],
        regions: list[str],
        pool: str,
        service: str,
        capacity: Size,
        service_time_s: float,
    ) -> None:
        self.name = name
        self.data_centres = data_centres
        self.regions = regions
        self.pool = pool
        self.service = service
        self.capacity = capacity
        self.service_time_s = service_time_s


SPECS_BY_NAME = {
    "caribfert": DeploymentSpec(
        "caribfert",
        ["kgn-harbour", "kgn-spanish", "mbj-freeport"],
        ["kingston", "kingston", "montego"],
        "bulletin-desk",
        "quotes",
        Size(64_000, 250 * GIB, 4),
        0.01,
    ),
    "cyfiawn": DeploymentSpec(
        "cyfiawn",
        ["caerdydd", "abertawe", "caernarfon"],
        ["de-cymru", "de-cymru", "gogledd"],
        "llys-booking",
        "bookings",
        Size(16_000, 60 * GIB, 1),
        0.02,
    ),
}


class StandInVm:
    """A VM: its worker, its endpoint and its agent."""

    __slots__ = ("agent", "agent_settings", "endpoint", "worker")

    def __init__(
        self,
        worker: WorkerService,
        endpoint: EndpointService,
        agent: AgentProcess,
        agent_settings: AgentSettings,
    ) -> None:
        self.worker = worker
        self.endpoint = endpoint
        self.agent = agent
        self.agent_settings = agent_settings

    def crash(self) -> None:
        """Kill the agent, the worker and the endpoint at once."""
        self.agent.kill()
        self.worker.close()
        self.endpoint.close()


class Deployment:
    """Log, workers, endpoints, agents and entries of one deployment.

    Parameters
    ----------
    spec : DeploymentSpec
        Names and sizes.
    vm_count : int
        Number of VMs to run.
    entry_count : int
        Number of entries to run.
    seed : int
        Seed of the stand-ins' random choices.
    """

    def __init__(
        self, spec: DeploymentSpec, vm_count: int, entry_count: int, seed: int
    ) -> None:
        self.spec = spec
        self.rng = random.Random(seed)
        self.log_address = find_free_address()
        self.log = LogService(self.log_address, self.rng)
        self.entries: list[EntryProcess] = []
        self.vms: list[StandInVm] = []
        self._control_addresses = [
            find_free_address() for _ in range(entry_count)
        ]
        self._vm_count = vm_count

    async def start(self) -> None:
        """Start everything and wait until it is ready."""
        for index in range(len(self._control_addresses)):
            self.add_entry(index)
        for index in range(self._vm_count):
            self.add_vm(index)
        await self._set_tables()
        await self._wait_ready()

    def add_entry(self, index: int) -> EntryProcess:
        """Start an entry."""
        place = index % len(self.spec.data_centres)
        text = f"""
[process]
name = entry-{index + 1}
data_centre = {self.spec.data_centres[place]}
region = {self.spec.regions[place]}
[listen]
caller_address = {find_free_address()}
operator_address = {find_free_address()}
control_address = {self._control_addresses[index]}
[log]
address = {self.log_address}
[entries]
seeds = {", ".join(self._control_addresses)}
"""
        entry = EntryProcess(parse_settings(text, EntrySettings))
        entry.start()
        self.entries.append(entry)
        return entry

    def add_vm(self, index: int) -> StandInVm:
        """Start a VM with its worker, endpoint and agent."""
        place = index % len(self.spec.data_centres)
        worker_address = find_free_address()
        text = f"""
[process]
name = vm-{index + 1}
data_centre = {self.spec.data_centres[place]}
region = {self.spec.regions[place]}
rack = rack-{index // RACK_SIZE + 1}
pool = {self.spec.pool}
[listen]
announce_address = {find_free_address()}
control_address = {find_free_address()}
session_address = {find_free_address()}
[worker]
address = {worker_address}
[entries]
seeds = {", ".join(self._control_addresses)}
"""
        settings = parse_settings(text, AgentSettings)
        worker = WorkerService(worker_address, self.spec.capacity)
        announcement = Announcement(
            f"{self.spec.service}-{index + 1}",
            self.spec.service,
            find_free_address(),
            time.time_ns() // 1_000_000,
        )
        endpoint = EndpointService(
            announcement,
            settings.listen.announce_address,
            self.spec.service_time_s,
            lambda: worker.model.slowdown,
        )
        agent = AgentProcess(settings)
        agent.start()
        vm = StandInVm(worker, endpoint, agent, settings)
        self.vms.append(vm)
        return vm

    def restart_agent(self, vm: StandInVm) -> None:
        """Kill a VM's agent and start a new one."""
        vm.agent.kill()
        vm.agent = AgentProcess(vm.agent_settings)
        vm.agent.start()

    def close(self) -> None:
        """Kill all processes at once."""
        for entry in self.entries:
            entry.kill()
        for vm in self.vms:
            vm.crash()
        self.log.close()

    async def _set_tables(self) -> None:
        entry = self.entries[0]
        while not entry.pump.caught_up:
            await asyncio.sleep(0.05)
        tables = load_deployment_tables(self.spec.name)
        for pool in tables.pools:
            edit = PoolEdited(pool.name, 0, f"first-{pool.name}", "demo", pool)
            await entry.commits.commit(edit, time.monotonic(), 5.0)
        for route in tables.routes:
            record = RouteEdited(
                route.name, 0, f"first-{route.name}", "demo", route
            )
            await entry.commits.commit(record, time.monotonic(), 5.0)

    async def _wait_ready(self) -> None:
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if self._ready():
                return
            await asyncio.sleep(0.05)
        raise TimeoutError("the deployment did not become ready")

    def _ready(self) -> bool:
        version = self.entries[0].cell.tables.version
        for entry in self.entries:
            if not entry.ready or entry.cell.tables.version < version:
                return False
            ready = sum(
                view.state.value == "ready"
                for view in entry.router.views.values()
            )
            if ready < len(self.vms):
                return False
        for vm in self.vms:
            if not vm.agent.task_manager.lease_until_s:
                return False
            if vm.agent.tables.version < version:
                return False
        return True


def find_free_address() -> str:
    """Find a free loopback address.

    The ports are below the range from which outgoing connections get
    theirs, so no connection can occupy the address before a process
    listens on it.
    """
    for _ in range(LAST_PORT - FIRST_PORT):
        port = FIRST_PORT + next(_port_numbers) % (LAST_PORT - FIRST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return f"127.0.0.1:{port}"
    raise OSError("no loopback port is free")


def load_deployment_tables(name: str) -> TablesFile:
    """Load the example tables of a deployment."""
    path = pathlib.Path(__file__).parent / "tables" / f"{name}.json"
    return load_tables(str(path))
