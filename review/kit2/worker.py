"""Stand-in of a worker that guards its capacity and is called by rpc."""

from __future__ import annotations

import asyncio
import time

import msgspec
from tornado.httpserver import HTTPServer

from kit2.http import call
from kit2.http import respond

HEARTBEAT_S = 1.1
TICK_S = 0.01
MAX_WAIT_S = 2.0
MAX_LISTED_ENDS = 500
MAX_HOLD_MS = 6_000
STOP_S = 0.2


class Run:
    """A task at work."""

    def __init__(self, task, run, spec, checkpoint):
        self.task = task
        self.run = run
        self.spec = spec
        self.checkpoint = checkpoint
        self.work_s = 0.0
        self.percent = 100
        self.stop_at_s = None


class Worker:
    """Runs tasks for the time that ``plan`` tells.

    ``plan`` returns for a run (task, run, spec) how long it works and how it
    ends. ``size`` returns the room in thousandths of a core that it needs.
    """

    def __init__(self, worker_id, service, address, control, record):
        self.worker_id = worker_id
        self.cpu = 64_000
        self.mem_mb = 256_000
        self.plan = lambda task, run, spec: (2.0, "done")
        self.size = lambda task: 960
        self.checkpoint_s = 0.0
        self.checkpoint = lambda task, number: ""
        self.needs_ticket = None
        self.starts = []
        self.ends_log = []
        self._service = service
        self._address = address
        self._control = control
        self._record = record
        self._born_ms = time.time_ns() // 1_000_000
        self._started_s = time.monotonic()
        self._lease_ms = 0
        self._token = 0
        self._seq = 0
        self._number = 0
        self.running = {}
        self._closed_runs = {}
        self._ends = []
        self._changed = asyncio.Event()
        self._server = HTTPServer(self._on_request)
        self._tasks = set()

    def start(self):
        host, _, port = self._address.rpartition(":")
        self._server.listen(int(port), host)
        for job in (self._check_in(), self._work()):
            self._spawn(job)

    def stop(self):
        self._server.stop()
        for task in self._tasks:
            task.cancel()

    def _spawn(self, job):
        task = asyncio.ensure_future(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def clock_ms(self):
        return int((time.monotonic() - self._started_s) * 1000)

    async def _check_in(self):
        while True:
            self._seq += 1
            body = {
                "Service": self._service,
                "Address": self._address,
                "Zone": "z1",
                "Version": "v1",
                "Slots": 8,
                "State": "ready",
                "ColdRemainingMs": 0,
                "Capacity": {"Cpu": self.cpu, "MemMb": self.mem_mb, "Gpu": 0},
                "Labels": ["a", "r1-1"],
                "ClockMs": self.clock_ms,
                "Seq": self._seq,
                "born": self._born_ms,
            }
            path = f"/yuccapoint/instances/{self.worker_id}"
            status, _ = await call(
                self._control, "PUT", path, body, timeout_s=1.0
            )
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.2)

    async def _work(self):
        last_s = time.monotonic()
        while True:
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            passed_s, last_s = now_s - last_s, now_s
            lapsed = self.clock_ms > self._lease_ms
            for run in list(self.running.values()):
                run.work_s += passed_s * run.percent / 100
                if self.checkpoint_s and run.work_s >= self.checkpoint_s:
                    number = int(run.work_s / self.checkpoint_s)
                    run.checkpoint = self.checkpoint(run.task, number)
                needed_s, how = self.plan(run.task, run.run, run.spec)
                if run.stop_at_s is not None and now_s >= run.stop_at_s:
                    self._end(run, "stopped")
                elif lapsed:
                    self._end(run, "lapsed")
                elif run.work_s >= needed_s:
                    self._end(run, how)

    def _end(self, run, how):
        del self.running[run.task]
        self._close_run(run.task, run.run)
        self._number += 1
        self._ends.append(
            [self._number, run.task, run.run, how, run.checkpoint]
        )
        self.ends_log.append((time.monotonic(), run.task, run.run, how))
        self._record(
            "run ends",
            worker=self.worker_id,
            task=run.task,
            run=run.run,
            how=how,
        )
        self._changed.set()
        self._changed = asyncio.Event()

    def _close_run(self, task, run):
        self._closed_runs[task] = max(run, self._closed_runs.get(task, 0))

    def _on_request(self, request):
        self._spawn(self._serve(request))

    async def _serve(self, request):
        try:
            body = msgspec.json.decode(request.body or b"{}")
        except msgspec.DecodeError:
            self._answer(request, 400, {})
            return
        name = request.path.rpartition("/")[2]
        expected = request.headers.get("Yuccapoint-Expect-Instance")
        if expected not in (None, self.worker_id):
            self._answer(request, 421, {})
            return
        token = body.get("FencingToken", 0)
        if token < self._token:
            self._answer(request, 409, {"Reason": "fence"})
            return
        self._token = token
        if name == "run-start":
            status, answer = self._start(body)
            self._answer(request, status, answer)
        elif name == "run-stop":
            self._stop(body["Task"], body["Run"])
            self._answer(request, 200, {})
        elif name == "pace":
            run = self.running.get(body["Task"])
            if run is not None and run.run == body["Run"]:
                run.percent = body["Percent"]
            self._answer(request, 200, {})
        elif name == "hold":
            await self._hold(request, body)
        else:
            self._answer(request, 404, {})

    def _extend(self, deadline_ms):
        deadline_ms = min(deadline_ms, self.clock_ms + MAX_HOLD_MS)
        self._lease_ms = max(self._lease_ms, deadline_ms)

    def _start(self, body):
        task, run = body["Task"], body["Run"]
        deadline_ms = body["DeadlineMs"]
        known = self.running.get(task)
        if known is not None and known.run == run:
            self._extend(deadline_ms)
            return 200, {}
        if deadline_ms <= self.clock_ms:
            return 409, {"Reason": "late"}
        self._extend(deadline_ms)
        if known is not None or run <= self._closed_runs.get(task, 0):
            return 409, {"Reason": "old"}
        if self.needs_ticket is not None:
            step = task.rpartition(".")[0]
            if not self.needs_ticket(step, body.get("Ticket", "")):
                return 409, {"Reason": "ticket"}
        used = sum(self.size(name) for name in self.running)
        if used + self.size(task) > self.cpu:
            return 409, {"Reason": "room"}
        self.running[task] = Run(
            task, run, body.get("Spec", ""), body.get("LastCheckpoint", "")
        )
        self.starts.append((time.monotonic(), task, run))
        self._record("run starts", worker=self.worker_id, task=task, run=run)
        return 200, {}

    def _stop(self, task, run):
        self._close_run(task, run)
        known = self.running.get(task)
        if known is not None and known.run <= run and known.stop_at_s is None:
            known.stop_at_s = time.monotonic() + STOP_S

    async def _hold(self, request, body):
        if "DeadlineMs" in body:
            self._extend(body["DeadlineMs"])
        seen = body.get("LastSeen", 0)
        self._ends = [end for end in self._ends if end[0] > seen]
        wait_s = min(MAX_WAIT_S, body.get("WaitMs", 0) / 1000)
        until_s = time.monotonic() + wait_s
        while not self._ends and time.monotonic() < until_s:
            waiter = asyncio.ensure_future(self._changed.wait())
            left_s = max(0.0, until_s - time.monotonic())
            await asyncio.wait([waiter], timeout=left_s)
            waiter.cancel()
        running = [
            [run.task, run.run, run.checkpoint, self._percent(run), 0]
            for run in self.running.values()
        ]
        answer = {"Running": running, "Finished": self._ends[:MAX_LISTED_ENDS]}
        self._answer(request, 200, answer)

    def _percent(self, run):
        needed_s, _ = self.plan(run.task, run.run, run.spec)
        if needed_s == float("inf"):
            return 100
        return min(99, int(100 * run.work_s / needed_s))

    def _answer(self, request, status, fields):
        body = {"ClockMs": self.clock_ms, "born": self._born_ms, **fields}
        respond(request, status, msgspec.json.encode(body))
