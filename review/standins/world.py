"""A small deployment on loopback: entries and agents as processes."""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from checker import Checker
from gangs import Gangs
from httpio import call
from store import Store
from worker import Worker

ROOT = pathlib.Path(__file__).resolve().parents[3]
FRONT, READY, CONTROL, APP, STORE, PEER = 8161, 8167, 8166, 8080, 8169, 7720
METRICS = 9611
HOST = "calls.example"
SERVICE = "pool-a"
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_S = 25.0
LIMIT_S = 112.0
BOUNDS = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2500,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2500,
    "RollbackSlackMs": 250,
    "MaxStretchMs": 5000,
    "RecoveryS": 12,
    "MaxHoldMs": 6000,
    "StopTimeoutMs": 900,
    "GangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "CheckpointS": 0.5,
    "RestoreMs": 100,
    "NoticeMs": 4500,
    "EnforceFencing": False,
    "LeaseMs": 3000,
}


class NotRunError(Exception):
    """The case could not run."""


class World:
    """Store, workers and consumers of this process, and the programs."""

    def __init__(self, record, entries=3, agents=4, later=(), **route):
        self.record = open(record, "w", encoding="utf-8")
        self.started_s = time.monotonic()
        self.route = route
        # Workers that the case itself starts.
        self.later = later
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.checker = Checker(self)
        self.store = Store()
        self.gangs = Gangs()
        self.entries = [f"entry-{n}" for n in range(1, entries + 1)]
        self.agents = [f"side-{n}" for n in range(1, agents + 1)]
        self.workers = {}
        self.processes = {}
        self.exits = []
        self.jobs = 0
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.subnet = self._free_subnet()
        self.store_address = f"{self.subnet}.1:{STORE}"

    def _free_subnet(self):
        for number in range(200):
            where = os.getpid() + 7 * number
            subnet = f"127.{30 + where // 250 % 200}.{where % 250}"
            try:
                for last in range(1, 2 + len(self.entries + self.agents)):
                    for port in (FRONT, CONTROL, STORE, APP, PEER, METRICS):
                        with socket.socket() as tried:
                            tried.bind((f"{subnet}.{last}", port))
            except OSError:
                continue
            return subnet
        raise NotRunError("no free loopback addresses")

    def note(self, text):
        now_s = time.monotonic() - self.started_s
        self.record.write(f"{now_s:8.3f} {text}\n")
        self.record.flush()

    def ip(self, name):
        number = [*self.entries, *self.agents].index(name)
        return f"{self.subnet}.{2 + number}"

    def config(self, **fields):
        route = {
            "Name": "q",
            "Host": HOST,
            "PathPrefix": "/q/",
            "Service": SERVICE,
            "Priority": 0,
            "MaxAttempts": 3,
            "SloFactor": 2.0,
            "SloMs": 1000,
            **self.route,
            **fields,
        }
        return {
            "Version": 2,
            "Routes": [route],
            "Services": [{"Name": SERVICE, "RejectsOverload": True}],
            "Limits": {"MaxBodyBytes": 262144},
        }

    async def start(self):
        await self.store.listen(self.store_address)
        self.store.put(
            "keyed.op", "config", json.dumps(self.config()).encode()
        )
        for name in [*self.entries, *self.agents]:
            self.spawn(name)
        for name in self.agents:
            ip = self.ip(name)
            worker = Worker(
                self, name, SERVICE, f"{ip}:{APP}", f"{ip}:{CONTROL}"
            )
            self.workers[name] = worker
            if name not in self.later:
                await worker.start()
        await self.until(self._all_ready, READY_S, "the entries are ready")
        await self.until(self._all_known, READY_S, "all workers are known")

    async def _all_ready(self):
        for name in self.entries:
            answer = await call(
                f"{self.ip(name)}:{READY}", "GET", "/yuccapoint/readyz"
            )
            if answer is None or answer[0] != 200:
                return False
        return True

    async def _all_known(self):
        return all(
            worker.acked_check_ins >= 2
            for name, worker in self.workers.items()
            if name not in self.later
        )

    async def until(self, condition, limit_s, what):
        """Wait until a condition holds."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return
            await asyncio.sleep(0.05)
        raise NotRunError(f"not so after {limit_s} s: {what}")

    def spawn(self, name):
        """Start a program with the command of the deploy file."""
        role = "entry" if name in self.entries else "agent"
        ip = self.ip(name)
        settings = {
            "NodeName": name,
            "Role": role,
            "MachineClass": "edge" if role == "entry" else "side",
            "Serves": ["edge" if role == "entry" else "side"],
            "Ip": ip,
            "Zone": "zone-a",
            "Region": "region-a",
            "Zones": {"zone-a": "region-a"},
            "ListenAddrs": {
                "Front": f"{ip}:{FRONT}",
                "Ready": f"{ip}:{READY}",
            }
            if role == "entry"
            else {"Control": f"{ip}:{CONTROL}"},
            "PortRange": [PEER, PEER + 15],
            "Seeds": [],
            "Bootstrap": True,
            "DataDir": None,
            "HeartbeatMs": 1100,
            "Bounds": BOUNDS,
            "ControlMode": "rpc",
            "platform": {
                "Address": self.store_address,
                "form": "log",
                "WritesPerS": 800,
                "ReadsPerS": 2000,
                "RecordBytes": 262144,
                "RequestBytes": 2097152,
            },
        }
        if role == "agent":
            settings["app"] = f"{ip}:{APP}"
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["YUCCAPOINT_NODE_FILE"] = str(path)
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "yuccapoint.platform", role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, name, number):
        self.note(f"signal {signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    async def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def note_exits(self):
        """Record the programs that ended by themselves."""
        for name, process in self.processes.items():
            code = process.poll()
            if code is not None and (name, process.pid) not in self.exits:
                self.exits.append((name, process.pid))
                self.note(f"{name} has ended with status {code}")

    def log_of(self, name):
        path = self.folder / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def leader(self):
        """Return the entry that leads, by the newest record of its log."""
        value = self.store.partition("keyed.cell").newest.get("leader")
        if value is None:
            return None
        for name in self.entries:
            if name.encode() in value[1]:
                return name
        return None

    async def consume(self, method, job_id, body=None, entry=None, limit_s=3):
        """Make a consumer's call; return (status, body) or None."""
        entry = entry or self.entries[self.jobs % len(self.entries)]
        data = b"" if body is None else json.dumps(body).encode()
        answer = await call(
            f"{self.ip(entry)}:{FRONT}",
            method,
            f"/q/{job_id}",
            data,
            {
                "Host": HOST,
                "Content-Type": "application/json",
                "Yuccapoint-Deadline-Ms": str(int(limit_s * 1000)),
            },
            timeout_s=limit_s,
        )
        shown = "no answer" if answer is None else (
            f"{answer[0]} {answer[1][:120].decode()}"
        )
        self.note(f"{method} {job_id} at {entry}: {shown}")
        return answer

    async def submit(self, steps, ms, entry=None, spec=None, **fields):
        """Hand a submission in until it is accepted; return its id.

        ``spec`` holds what the stand-in of the worker has to know.
        """
        self.jobs += 1
        job_id = f"{self.jobs:016x}"
        text = json.dumps({"ms": ms, **(spec or {})})
        body = {"Spec": text, "Steps": steps, **fields}
        for _ in range(4):
            answer = await self.consume("POST", job_id, body, entry)
            if answer is not None and answer[0] == 200:
                return job_id
            await asyncio.sleep(0.5)
        raise NotRunError(f"{job_id} was not accepted")

    async def state(self, job_id, entry=None):
        answer = await self.consume("GET", job_id, None, entry)
        if answer is None or answer[0] != 200:
            return "" if answer is None else str(answer[0])
        return json.loads(answer[1]).get("State", "")

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for worker in self.workers.values():
            worker.stop()
        self.store.close()
        keep = os.environ.get("REVIEW_KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


async def _play(case, world):
    player = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, player.cancel)
    try:
        async with asyncio.timeout(LIMIT_S):
            await world.start()
            await case(world)
    finally:
        world.note_exits()
        world.close()


def main(case, **sizes):
    """Play a case; exit with 1 if a rule was broken, 2 if it didn't run."""
    record = pathlib.Path(sys.argv[1])
    try:
        world = World(record, **sizes)
    except (NotRunError, OSError) as error:
        print(f"not run: {error}")
        sys.exit(NOT_RUN)
    try:
        asyncio.run(_play(case, world))
    except (Exception, asyncio.CancelledError) as error:
        world.note(f"not run: {error!r}")
        print(f"not run: {error!r}")
        sys.exit(NOT_RUN)
    broken = world.checker.broken
    for text in broken:
        print(f"BROKEN {text}")
    print(f"starts: {world.checker.starts}, rules broken: {len(broken)}")
    sys.exit(BROKEN if broken else HELD)
