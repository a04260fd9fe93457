"""A deployment of OS processes behind proxies."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import subprocess
import sys
import time
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from soak.long_running_check import LongRunningCheck
from soak.oracle import Oracle
from soak.proxy import Proxy
from soak.soak_job import SoakJob
from soak.soak_worker import SoakWorker
from yuccapoint.connection.http_client import HttpClient
from yuccapoint.exceptions import YuccapointError
from yuccapoint_standins.platform_store import PlatformStore

if TYPE_CHECKING:
    from collections.abc import Iterator

    from soak.proxied_connection import ProxiedConnection

ROLE_PROGRAM = pathlib.Path(__file__).with_name("proxied_role.py")
FRONT_PORT, CONTROL_PORT, APP_PORT, PROXY_PORT = 8161, 8166, 8080, 8090
STORE_PORT, PEER_PORT = 8169, 7720
CONTROL_PROXY_PORT = PROXY_PORT + 2
ROUTE_HOST = "soak.example"
TASK_RUN_S = 0.5
CALL_TIMEOUT_S = 3.0
STOP_GRACE_S = 6.0
# A fault explains a lost request until this long after its end.
CONTACT_S = 3.0
START_TIMEOUT_S = 20.0


def _config() -> bytes:
    route = {
        "Name": "q",
        "Host": ROUTE_HOST,
        "PathPrefix": "/q/",
        "Service": "pool",
        "MaxAttempts": 3,
        "SloFactor": 2.0,
        "SloMs": 1000,
    }
    return msgspec.json.encode({"Version": 2, "Routes": [route]})


class World:
    """Entries and agents as processes; store and workers run in-process.

    Parameters
    ----------
    directory : pathlib.Path
        Directory for the settings and logs of the processes.
    seed : int
        Seed of the random load and faults.
    entries, vms : int
        Number of entries and VMs.

    Attributes
    ----------
    rng : random.Random
        Draws load and faults.
    link_rng : random.Random
        Draws narrow links.
    stop_rng : random.Random
        Draws planned stops and the requests around them.
    stopping : set of str
        Entries that are being stopped as planned.
    kept_answers : int
        Requests that were answered on connections kept during such stops.
    excused_closes : int
        Requests lost there that an unplanned fault explains.
    """

    def __init__(
        self, directory: pathlib.Path, seed: int, entries: int, vms: int
    ) -> None:
        self.rng = random.Random(seed)
        self.link_rng = random.Random(f"links {seed}")
        self.stop_rng = random.Random(f"stops {seed}")
        self.stopping: set[str] = set()
        self.kept_answers = 0
        self.excused_closes = 0
        self._unplanned_faults = 0
        self._unplanned_until_s = 0.0
        self.oracle = Oracle()
        self.long_running_check = LongRunningCheck(self.oracle)
        self.store = PlatformStore()
        self.entries = [f"entry-{n}" for n in range(entries)]
        self.agents = [f"vm-{n}" for n in range(vms)]
        self.workers: list[SoakWorker] = []
        self.proxies: dict[str, Proxy] = {}
        self._directory = directory
        # Separate subnets keep concurrent test processes apart.
        pid = os.getpid()
        self._subnet = f"127.{20 + pid // 250 % 200}.{pid % 250}"
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._clients: dict[str, HttpClient] = {}
        self._jobs = 0

    def ip(self, name: str) -> str:
        return (
            f"{self._subnet}.{2 + [*self.entries, *self.agents].index(name)}"
        )

    async def start(self) -> None:
        store_address = f"{self._subnet}.1:{STORE_PORT}"
        self.store.listen(store_address)
        self.store.put("keyed.op", "config", _config())
        for name in (*self.entries, *self.agents):
            ip = self.ip(name)
            await self._start_proxy(
                f"store of {name}", f"{ip}:{PROXY_PORT}", store_address
            )
            await self._start_proxy(
                f"control of {name}",
                f"{ip}:{CONTROL_PROXY_PORT}",
                f"{ip}:{PEER_PORT}",
            )
            self.spawn(name)
        for name in self.agents:
            await self._start_worker(name)
        for name in self.entries:
            self._clients[name] = HttpClient(f"{self.ip(name)}:{FRONT_PORT}")
        await self._wait_until_ready()

    async def _start_proxy(
        self, name: str, address: str, upstream: str
    ) -> None:
        proxy = Proxy(address, upstream)
        await proxy.start()
        self.proxies[name] = proxy

    def open_connections(self, kind: str) -> list[ProxiedConnection]:
        """Return the open connections through proxies of one kind."""
        return [
            connection
            for name, proxy in self.proxies.items()
            if name.startswith(kind)
            for connection in proxy.open_connections
        ]

    async def _start_worker(self, name: str) -> None:
        ip = self.ip(name)
        app, proxy_address = f"{ip}:{APP_PORT}", f"{ip}:{PROXY_PORT + 1}"
        await self._start_proxy(f"worker of {name}", proxy_address, app)
        worker = SoakWorker(
            self.oracle,
            f"i-{name}",
            app,
            proxy_address,
            f"{ip}:{CONTROL_PORT}",
            TASK_RUN_S,
        )
        worker.start()
        self.workers.append(worker)

    async def _wait_until_ready(self) -> None:
        end_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_s:
            answers = [
                await self.call(name, "GET", "/yuccapoint/readyz", b"")
                for name in self.entries
            ]
            if all(answer and answer.status == 200 for answer in answers):
                return
            await asyncio.sleep(0.1)
        raise AssertionError("the deployment did not become ready")

    def spawn(self, name: str) -> None:
        """Start a process unless it is running."""
        if self.alive(name):
            return
        ip = self.ip(name)
        settings = {
            "NodeName": name,
            "Ip": ip,
            "Zone": "zone",
            "Region": "region",
            "ListenAddrs": {
                "Front": f"{ip}:{FRONT_PORT}",
                "Ready": f"{ip}:{FRONT_PORT}",
                "Control": f"{ip}:{CONTROL_PORT}",
            },
            "PortRange": [PEER_PORT, PEER_PORT + 15],
            "platform": {"Address": f"{ip}:{PROXY_PORT}"},
        }
        path = self._directory / f"{name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        role = name.partition("-")[0].replace("vm", "agent")
        with (self._directory / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [
                    sys.executable,
                    str(ROLE_PROGRAM),
                    role,
                    str(CONTROL_PROXY_PORT),
                ],
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, "YUCCAPOINT_NODE_FILE": str(path)},
            )

    def alive(self, name: str) -> bool:
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this world started."""
        if self.alive(name):
            self._processes[name].send_signal(number)

    @contextlib.contextmanager
    def unplanned_fault(self) -> Iterator[None]:
        """Record an unplanned fault, which may overlap others."""
        self._unplanned_faults += 1
        try:
            yield
        finally:
            self._unplanned_faults -= 1
            self.on_unplanned_fault()

    def on_unplanned_fault(self) -> None:
        """Record that there was an unplanned fault until now."""
        self._unplanned_until_s = time.monotonic()

    def unplanned_since(self, at_s: float) -> bool:
        """Whether an unplanned fault explains what happened since a time."""
        calm_s = at_s - self._unplanned_until_s
        return self._unplanned_faults > 0 or calm_s < CONTACT_S

    def usable_workers(self) -> list[SoakWorker]:
        """Return the workers that may run tasks, whose agents are up."""
        return [
            worker
            for name, worker in zip(self.agents, self.workers, strict=True)
            if self.alive(name) and not worker.crashed and not worker.draining
        ]

    async def call(self, entry: str, method: str, path: str, body: bytes):
        try:
            return await self._clients[entry].call(
                method,
                path,
                body,
                headers={"Host": ROUTE_HOST},
                timeout_s=CALL_TIMEOUT_S,
            )
        except YuccapointError:
            return None

    async def submit(self) -> None:
        """Submit a random job whose tasks end by themselves."""
        self._jobs += 1
        steps = [self.rng.randint(1, 3) for _ in range(self.rng.randint(1, 2))]
        job = SoakJob(f"{self._jobs:016x}", f"payload {self._jobs}", steps)
        self.oracle.jobs[job.job_id] = job
        step_bodies = [
            {
                "Count": tasks,
                "Cpu": 500,
                "MemMb": 64,
                "EstimateMs": 500,
                **({"DependsOn": [number - 1]} if number else {}),
            }
            for number, tasks in enumerate(steps)
        ]
        await self.submit_job(job, step_bodies, self.rng)

    async def submit_job(
        self, job: SoakJob, steps: list[dict[str, Any]], rng: random.Random
    ) -> None:
        """Submit a job, retrying while it is not acknowledged."""
        body = msgspec.json.encode({"Spec": job.payload, "Steps": steps})
        for _ in range(4):
            entry = rng.choice(self.entries)
            answer = await self.call(entry, "POST", f"/q/{job.job_id}", body)
            if answer is not None and answer.status == 200:
                job.accepted_at_s = time.monotonic()
                return
            if answer is None or answer.status not in (429, 503):
                job.may_be_accepted = True
            await asyncio.sleep(0.5)

    async def cancel(self) -> None:
        """Cancel a random accepted job."""
        accepted = [j for j in self.oracle.ending_jobs() if j.accepted]
        if accepted:
            await self.cancel_job(self.rng.choice(accepted), self.rng)

    async def cancel_job(self, job: SoakJob, rng: random.Random) -> None:
        """Cancel a job at a random entry."""
        job.cancel_attempted = True
        entry = rng.choice(self.entries)
        answer = await self.call(entry, "DELETE", f"/q/{job.job_id}", b"")
        if answer is not None and answer.status == 200:
            job.cancelled_at_s = time.monotonic()

    async def query_state(self, job: SoakJob, entry: str) -> str:
        """Query a job's state and pass the response to the oracle."""
        answer = await self.call(entry, "GET", f"/q/{job.job_id}", b"")
        if answer is None or answer.status == 503:
            return ""
        if answer.status not in (200, 410):
            self.oracle.on_unreadable(job.job_id, answer.status)
            return ""
        state = ""
        if answer.status == 200:
            state = msgspec.json.decode(answer.body)["State"]
        self.oracle.on_state(job, entry, answer.status, state)
        return state

    async def query_pending(self, entry: str) -> None:
        """Query the count of pending jobs, and a job that nobody submitted."""
        waiting = self.oracle.waiting_jobs()
        answer = await self.call(entry, "GET", "/q/", b"")
        if answer is not None and answer.status == 200:
            pending = msgspec.json.decode(answer.body)["Pending"]
            waiting = min(waiting, self.oracle.waiting_jobs())
            self.oracle.on_pending(waiting, entry, pending)
        answer = await self.call(entry, "GET", f"/q/{'f' * 16}", b"")
        if answer is not None and answer.status not in (410, 503):
            self.oracle.on_unreadable("an unknown job", answer.status)

    async def close(self) -> None:
        """Kill all processes and stop the workers, proxies and store."""
        for name in self._processes:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGKILL)
        for process in self._processes.values():
            process.wait(STOP_GRACE_S)
        for client in self._clients.values():
            client.close()
        for worker in self.workers:
            worker.stop()
        for proxy in self.proxies.values():
            proxy.close()
        self.store.stop()
