"""A small deployment: the project's programs and the stand-ins around them."""

from __future__ import annotations

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

from http_service import call

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "quotes.example"
FRONT, READY, CONTROL, PEER, APP = 8161, 8167, 8166, 7720, 8165
BOUNDS = {
    "ContactMs": 3000, "AckMs": 4000, "DrainMs": 2500, "GraceS": 6,
    "ConfigApplyMs": 2500, "MaxHoldMs": 6000, "StopTimeoutMs": 900,
    "GangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "early_ms": 250, "finish_s": 14, "status_s": 120, "CheckpointS": 0.5,
    "RestoreMs": 100, "LeaseMs": 3000,
}


def free_subnet():
    """Return a loopback subnet on which the ports are free."""
    for number in range(os.getpid(), os.getpid() + 200):
        subnet = f"127.{100 + number // 250 % 100}.{number % 250}"
        probe = socket.socket()
        try:
            probe.bind((f"{subnet}.1", 8169))
            return subnet
        except OSError:
            continue
        finally:
            probe.close()
    raise SystemExit(2)


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = (pathlib.Path(folder) / "record.txt").open("w")
        self.began_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self.began_s

    def note(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now_s():8.3f} {what} {text}\n")

    def say(self, text):
        print(text, flush=True)
        self.file.write(f"{self.now_s():8.3f} {text}\n")
        self.file.flush()


class Deployment:
    """Starts and ends entries and agents with the commands of deploy/system.toml."""

    def __init__(self, entries, vms, record):
        self.subnet = free_subnet()
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.processes = {}
        self.entries = [f"edge-{n}" for n in range(1, entries + 1)]
        self.vms = [f"side-{n}" for n in range(1, vms + 1)]
        self.store_address = f"{self.subnet}.1:8169"
        self.store_of = {}
        # Set where a queue has an adviser.
        self.adviser_address = None

    def ip(self, name):
        names = [*self.entries, *self.vms]
        return f"{self.subnet}.{10 + names.index(name)}"

    def front(self, name):
        return f"{self.ip(name)}:{FRONT}"

    def app(self, name):
        return f"{self.ip(name)}:{APP}"

    def control(self, name):
        return f"{self.ip(name)}:{CONTROL}"

    def settings(self, name):
        ip = self.ip(name)
        side = name in self.vms
        listen = {"Control": f"{ip}:{CONTROL}"}
        if not side:
            listen = {"Front": f"{ip}:{FRONT}", "Ready": f"{ip}:{READY}"}
        settings = {
            "NodeName": name,
            "Role": "agent" if side else "entry",
            "MachineClass": "side" if side else "edge",
            "Serves": ["side" if side else "edge"],
            "Ip": ip,
            "Zone": "kgn-harbour",
            "Region": "kingston",
            "Zones": {"kgn-harbour": "kingston"},
            "ListenAddrs": listen,
            "PortRange": [PEER, PEER + 15],
            "Seeds": [],
            "Bootstrap": True,
            "LossCounts": False,
            "Limits": {
                "CpuShare": 0.537, "Cores": 2, "MemoryMb": 300,
                "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0,
            },
            "DataDir": None,
            "Discovery": "local",
            "Entry": "vip",
            "HeartbeatMs": 1100,
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": BOUNDS,
            "ControlMode": "rpc",
            "platform": {
                "Address": self.store_of.get(name, self.store_address),
                "form": "log", "WritesPerS": 800, "ReadsPerS": 2000,
                "parts": 12, "AppendMs": 2.0, "PartitionMbS": 20.0,
                "ReadMbS": 80.0, "RecordBytes": 262144,
                "RequestBytes": 2097152, "keep_s": 300, "PartMb": 200,
                "MinTtlMs": 1000,
            },
        }
        if side:
            settings["app"] = self.app(name)
        if self.adviser_address:
            settings["Advisor"] = self.adviser_address
        return settings

    def spawn(self, name):
        path = self.folder / f"{name}.yaml"
        path.write_text(json.dumps(self.settings(name)))
        role = "agent" if name in self.vms else "entry"
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["YUCCAPOINT_NODE_FILE"] = str(path)
        environment["PYTHONPATH"] = "target/deps"
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                ["python3", "-m", "yuccapoint.platform", role],
                cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=subprocess.STDOUT,
            )
        self.record.note("spawn", process=name)

    def start(self):
        for name in (*self.entries, *self.vms):
            self.spawn(name)

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record.note("signal", process=name, signal=number.name)

    async def wait_ready(self, timeout_s=20.0):
        until_s = time.monotonic() + timeout_s
        waiting = list(self.entries)
        while waiting and time.monotonic() < until_s:
            name = waiting[0]
            address = f"{self.ip(name)}:{READY}"
            status, _ = await call(address, "GET", "/yuccapoint/readyz")
            if status == 200:
                waiting.pop(0)
                continue
            await asyncio.sleep(0.1)
        if waiting:
            self.record.say(f"not ready: {waiting}")
            raise SystemExit(2)

    async def ask(self, name, method, path, body=None, timeout_s=3.0):
        """Send a consumer's request; return status and decoded body."""
        headers = {
            "Host": HOST, "Yuccapoint-Deadline-Ms": str(int(timeout_s * 1000))
        }
        status, data = await call(
            self.front(name), method, path, body, headers, timeout_s
        )
        try:
            answer = json.loads(data) if data else None
        except ValueError:
            answer = None
        text = "" if answer is None else json.dumps(answer)
        self.record.note(
            "call", entry=name, method=method, path=path, status=status,
            answer=text,
        )
        return status, answer

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def config(version=1, **changes):
    """Return the operator's config with one queue."""
    route = {
        "Name": "sheets", "Host": HOST, "PathPrefix": "/sheets/",
        "Service": "bulletin-desk", "Priority": 0, "MaxAttempts": 3,
        "SloFactor": 2.0, "SloMs": 1000, **changes,
    }
    return {
        "Version": version,
        "Routes": [route],
        "Services": [{"Name": "bulletin-desk", "RejectsOverload": True}],
        "Limits": {"MaxBodyBytes": 262144},
    }


def run(main, folder):
    """Run a case; the process exits with its result, 2 if it could not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        code = asyncio.run(main(record, trouble))
    except SystemExit as error:
        code = error.code
    except Exception as error:  # noqa: BLE001
        record.say(f"the case could not run: {error!r}")
        code = 2
    record.file.close()
    sys.exit(code)
