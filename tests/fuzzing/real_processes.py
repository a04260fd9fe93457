"""Entries and agents as OS processes; the platform runs in-process."""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import subprocess
import sys
import time
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPRequest

from fuzzing.exchange import Exchange
from fuzzing.oracle import Oracle
from fuzzing.world import POOL
from fuzzing.world import QUOTA_MILLICORES
from yuccapoint.job.job import Job
from yuccapoint.job.size import Size
from yuccapoint.process.endpoint_registry import Announcement
from yuccapoint.process.operator_messages import EditBody
from yuccapoint.version.route import Route
from yuccapoint_standins.deployment import find_free_address
from yuccapoint_standins.endpoint_service import EndpointService
from yuccapoint_standins.log_service import LogService
from yuccapoint_standins.worker_service import WorkerService

if TYPE_CHECKING:
    from collections.abc import Callable

CONDITION_TIMEOUT_S = 60.0
POLL_S = 0.05
ENTRY_SETTINGS = """
[process]
name = entry-{index}
data_centre = dc
region = west
[listen]
caller_address = {caller}
operator_address = {operator}
control_address = {control}
[log]
address = {log}
timeout_s = 1
[entries]
seeds = {seeds}
"""
AGENT_SETTINGS = """
[process]
name = vm-{index}
data_centre = dc
region = west
rack = rack
pool = pool
[listen]
announce_address = {announce}
control_address = {control}
session_address = {session}
[worker]
address = {worker}
[entries]
seeds = {seeds}
"""


class RealHost:
    """A VM's worker, with the attributes that the oracle reads."""

    alive = True

    def __init__(self, vm: str, service: WorkerService) -> None:
        self.vm = vm
        self.service = service
        self.model = service.model
        self.starts: list[tuple[str, int]] = []
        original = self.model.start

        def start(job_id: str, attempt: int, body: Any, now_s: float) -> None:
            original(job_id, attempt, body, now_s)
            self.starts.append((job_id, attempt))

        self.model.start = start  # type: ignore[method-assign]


class RealEndpoint:
    """A service endpoint, with the attributes that the oracle reads."""

    leaving = False
    left_at_s = 0.0

    def __init__(self, service: EndpointService) -> None:
        self.service = service
        self.name = service.announcement.name

    @property
    def runs(self) -> list[tuple[str, float]]:
        counts = self.service.runs.items()
        return [(name, 0.0) for name, count in counts for _ in range(count)]


class RealWorld:
    """Two entries and two VMs, each with its own OS process."""

    quota_millicores = QUOTA_MILLICORES

    def __init__(self, directory: str) -> None:
        self._directory = pathlib.Path(directory)
        self.log_address = find_free_address()
        self.log = LogService(self.log_address, random.Random(1))
        self.client = AsyncHTTPClient(force_instance=True)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.hosts: list[RealHost] = []
        self.all_endpoints: list[RealEndpoint] = []
        self.exchanges: list[Exchange] = []
        self.crashes: list[str] = []
        self.caller_addresses = [find_free_address() for _ in range(2)]
        self.operator_addresses = [find_free_address() for _ in range(2)]
        self._control_addresses = [find_free_address() for _ in range(2)]
        self.oracle = Oracle(self)  # type: ignore[arg-type]

    async def start(self) -> None:
        for index in range(2):
            self.start_entry(index)
            self._start_vm(index)
        await self.wait_until(lambda: self.is_ready(0))
        row = Route(
            name="quote",
            prefix="/quote",
            service="service",
            pool="pool",
            idempotent=True,
        )
        await self._edit("pools", "pool", EditBody("1", 0, pool=POOL))
        await self._edit("routes", "quote", EditBody("2", 0, route=row))
        await self.wait_until(lambda: self.is_answered(0))
        await self.wait_until(lambda: self.is_answered(1))

    def start_entry(self, index: int) -> None:
        text = ENTRY_SETTINGS.format(
            index=index,
            caller=self.caller_addresses[index],
            operator=self.operator_addresses[index],
            control=self._control_addresses[index],
            log=self.log_address,
            seeds=", ".join(self._control_addresses),
        )
        self._spawn("entry", f"entry-{index}", text)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process; wait for its exit after SIGKILL."""
        self.processes[name].send_signal(number)
        if number is signal.SIGKILL:
            self.processes[name].wait()

    async def wait_until(self, condition: Callable[[], Any]) -> None:
        """Wait until a condition holds; check the invariants at each poll."""
        deadline_s = time.monotonic() + CONDITION_TIMEOUT_S
        while True:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            self.oracle.check_invariants()
            if found:
                return
            if time.monotonic() > deadline_s:
                raise TimeoutError("the condition did not hold in time")
            await asyncio.sleep(POLL_S)

    async def is_ready(self, index: int) -> bool:
        code, _ = await self._call(
            "GET", self.operator_addresses[index], "/ready"
        )
        return code == 200

    async def is_answered(self, index: int) -> bool:
        """Send a request and return whether its response has status 200."""
        name = f"request-{len(self.exchanges)}"
        exchange = Exchange(name, "POST", "/quote", name.encode())
        exchange.is_service_request = True
        self.exchanges.append(exchange)
        request = HTTPRequest(
            f"http://{self.caller_addresses[index]}/quote",
            method="POST",
            headers={"X-Request-Name": name},
            body=exchange.request_body,
            request_timeout=10,
        )
        try:
            answer = await self.client.fetch(request, raise_error=False)
        except OSError:
            return False
        exchange.status = answer.code
        exchange.headers = answer.headers
        exchange.body = answer.body or b""
        exchange.finished = answer.code != 599
        return answer.code == 200

    async def submit(self, index: int, command: str) -> Job:
        job = Job(
            job_id=f"job-{len(self.exchanges)}",
            team="large",
            customer="customer",
            job_class="class",
            pool="pool",
            size=Size(1000, 1000, 0),
            run_time_s=1.0,
            command=command,
        )
        exchange = Exchange(job.job_id, "POST", "/v1/jobs", b"")
        exchange.job = job
        self.exchanges.append(exchange)
        body = msgspec.json.encode(job)
        address = self.operator_addresses[index]
        code, _ = await self._call("POST", address, "/v1/jobs", body)
        assert code == 200, code
        return job

    async def is_done(self, index: int, job_id: str) -> bool:
        path = f"/v1/jobs/{job_id}"
        code, body = await self._call(
            "GET", self.operator_addresses[index], path
        )
        return code == 200 and b'"state":"done"' in body

    def running_vm_index(self, job_id: str) -> int:
        """Return the index of the VM that runs a job, or -1."""
        for index, host in enumerate(self.hosts):
            if job_id in host.model.tasks:
                return index
        return -1

    def members(self) -> list[Any]:
        return []

    def recent_trace(self) -> str:
        return "\n".join(
            path.read_text("utf-8")[-4000:]
            for path in sorted(self._directory.glob("*.log"))
        )

    def close(self) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()
        for host in self.hosts:
            host.service.close()
        for endpoint in self.all_endpoints:
            endpoint.service.close()
        self.client.close()
        self.log.close()

    def _start_vm(self, index: int) -> None:
        announce, worker = find_free_address(), find_free_address()
        text = AGENT_SETTINGS.format(
            index=index,
            announce=announce,
            control=find_free_address(),
            session=find_free_address(),
            worker=worker,
            seeds=", ".join(self._control_addresses),
        )
        service = WorkerService(worker, Size(4000, 4000, 1))
        self.hosts.append(RealHost(f"vm-{index}", service))
        announcement = Announcement(
            f"e-{index}", "service", find_free_address(), 1
        )
        endpoint = EndpointService(announcement, announce, 0.01, lambda: 1.0)
        self.all_endpoints.append(RealEndpoint(endpoint))
        self._spawn("agent", f"vm-{index}", text)

    def _spawn(self, role: str, name: str, text: str) -> None:
        path = self._directory / f"{name}.ini"
        path.write_text(text, "utf-8")
        with (self._directory / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "yuccapoint", role, str(path)],
                stdout=log,
                stderr=log,
            )

    async def _edit(self, table: str, name: str, body: EditBody) -> None:
        path = f"/v1/tables/{table}/{name}"
        data = msgspec.json.encode(body)
        code, answer = await self._call(
            "PUT", self.operator_addresses[0], path, data
        )
        assert code == 200, answer

    async def _call(
        self, method: str, address: str, path: str, body: bytes | None = None
    ) -> tuple[int, bytes]:
        request = HTTPRequest(
            f"http://{address}{path}", method=method, body=body
        )
        try:
            answer = await self.client.fetch(request, raise_error=False)
        except OSError:
            return 0, b""
        return answer.code, answer.body or b""
