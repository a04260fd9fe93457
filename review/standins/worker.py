"""Stand-in of a worker: runs tasks for a fixed time under a lease.

A task's ``Spec`` is a JSON object; ``ms`` is its run time, 0 for a task that
lasts, and with ``saves`` it checkpoints its progress. Tasks of a ``gang`` of
this size work from when all are present, and all end together.
"""

import asyncio
import json
import time

from httpio import HttpServer
from httpio import call

TICK_S = 0.01
MAX_HOLD_MS = 6_000
MAX_WAIT_MS = 2_000
MAX_LISTED_ENDS = 500
STOP_S = 0.2
GANG_TIMEOUT_S = 3.0
CHECKPOINT_S = 0.5
HEARTBEAT_S = 1.1


class Run:
    def __init__(self, task, run, spec, saved, now_s):
        self.task, self.run, self.saved = task, run, saved
        self.started_s = now_s
        options = json.loads(spec)
        self.work_ms = options.get("ms", 1000)
        self.saves = options.get("saves", False)
        # Whether each run of the task fails as soon as it has started.
        self.hopeless = options.get("hopeless", False)
        # Number of tasks of the gang; they work only together.
        self.gang = options.get("gang", 0)
        self.works = not self.gang
        self.stop_at_s = None

    @property
    def name(self):
        return f"{self.task}/{self.run}"


class Worker:
    """One machine's worker; ``restart`` begins a new lifetime.

    ``keeps`` is called with each request to the worker and returns whether
    it is left unanswered, to be carried out late by ``execute_late``.
    """

    def __init__(self, world, name, service, address, control):
        self.world = world
        self.name = name
        self.worker_id = f"i-{name}"
        self.service = service
        self.address = address
        self.control = control
        self.capacity = {"Cpu": 16000, "MemMb": 62500, "Gpu": 0}
        self.labels = ["a", "r1"]
        self.state = "ready"
        self.up = False
        self.checks_in = True
        self.acked_check_ins = 0
        # Whether each task fails as soon as it has started.
        self.fails_all = False
        self.keeps = lambda request: False
        self.server = HttpServer(self.serve)
        self.tasks = []
        self.due = asyncio.Event()
        self.begin()

    def begin(self):
        """Begin a lifetime, which knows nothing of former ones."""
        self.born = int(time.time() * 1000)
        self.clock_start_s = time.monotonic()
        self.lease_ms = 0
        self.token = 0
        self.seq = 0
        self.last_end = 0
        self.running = {}
        self.closed = {}
        self.ends = []
        self.state = "ready"
        self.ended = asyncio.Event()

    @property
    def clock_ms(self):
        return int((time.monotonic() - self.clock_start_s) * 1000)

    async def start(self):
        await self.server.listen(self.address)
        self.begin()
        self.up = True
        self.tasks = [
            asyncio.ensure_future(self.check_in_loop()),
            asyncio.ensure_future(self.tick_loop()),
        ]

    def stop(self):
        for task in self.tasks:
            task.cancel()
        self.server.close()

    def crash(self):
        """Lose all state; calls are cut off until ``restart``."""
        self.up = False
        self.world.note(f"worker {self.name} crashes")
        for run in self.running.values():
            self.world.checker.on_gone(self, run)
        self.running, self.ends = {}, []
        self.world.checker.on_crash(self)
        self.server.cut()

    def restart(self):
        """Begin the next lifetime, which checks in at once."""
        self.begin()
        self.up = True
        self.due.set()
        self.world.note(f"worker {self.name} is back, born {self.born}")

    def check_in(self):
        self.seq += 1
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": "zone-a",
            "Version": "v1",
            "Slots": 8,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Capacity": self.capacity,
            "Labels": self.labels,
            "ClockMs": self.clock_ms,
            "Seq": self.seq,
            "born": self.born,
        }

    async def check_in_loop(self):
        while True:
            if self.up and self.checks_in:
                answer = await call(
                    self.control,
                    "PUT",
                    f"/yuccapoint/instances/{self.worker_id}",
                    json.dumps(self.check_in()).encode(),
                    {"Content-Type": "application/json"},
                    timeout_s=1.0,
                )
                if answer is not None and answer[0] == 200:
                    self.acked_check_ins += 1
            self.due.clear()
            try:
                await asyncio.wait_for(self.due.wait(), HEARTBEAT_S)
            except TimeoutError:
                continue

    async def tick_loop(self):
        while True:
            now_s = time.monotonic()
            lapsed = self.clock_ms > self.lease_ms
            if lapsed and (self.running or self.ends):
                self.world.checker.on_lapse(self)
            for run in list(self.running.values()):
                worked_s = now_s - run.started_s
                if run.gang:
                    self.world.gangs.update(self, run, now_s)
                    if run.task not in self.running:
                        continue
                if lapsed:
                    self.end(run, "lapsed")
                elif run.stop_at_s is not None and now_s >= run.stop_at_s:
                    self.end(run, "stopped")
                elif not run.works:
                    if worked_s >= GANG_TIMEOUT_S:
                        self.end(run, "alone")
                elif run.work_ms and worked_s * 1000 >= run.work_ms:
                    self.end(run, "done")
            await asyncio.sleep(TICK_S)

    def end(self, run, how):
        del self.running[run.task]
        self.closed[run.task] = max(run.run, self.closed.get(run.task, 0))
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.run, how, ""])
        self.ended.set()
        self.ended = asyncio.Event()
        self.world.checker.on_end(self, run, how, self.last_end)
        if run.gang:
            self.world.gangs.on_end(run, how)

    async def serve(self, request):
        if not self.up:
            return None
        if self.keeps(request):
            # Left unanswered; the case carries it out late.
            await asyncio.sleep(60)
            return None
        return await self.execute(request)

    async def execute_late(self, request):
        """Carry out a call on the lifetime that has this address by now."""
        self.world.note(
            f"worker {self.name} executes late: {request.path} "
            f"{request.body.decode()}"
        )
        await self.execute(request)

    async def execute(self, request):
        body = request.json()
        what = request.path.rpartition("/")[2]
        expected = request.headers.get("yuccapoint-expect-instance")
        if expected not in (None, self.worker_id):
            return self.answer(421, {})
        token = body.get("FencingToken", 0)
        if token < self.token:
            return self.answer(409, {"Reason": "fence"})
        self.token = token
        if what == "run-start":
            return self.answer(*self.run_start(body))
        if what == "run-stop":
            self.run_stop(body)
            return self.answer(200, {})
        if what == "pace":
            return self.answer(200, {})
        if what == "hold":
            self.extend(body)
            last = body.get("LastSeen", 0)
            self.world.checker.on_acknowledged(self, last)
            self.ends = [end for end in self.ends if end[0] > last]
            born = self.born
            wait_s = min(MAX_WAIT_MS, body.get("WaitMs", 0)) / 1000
            if not self.ends and wait_s:
                try:
                    await asyncio.wait_for(self.ended.wait(), wait_s)
                except TimeoutError:
                    pass
            if not self.up or self.born != born:
                return None
            lists = {
                "Running": [self.row(run) for run in self.running.values()],
                "Finished": self.ends[:MAX_LISTED_ENDS],
            }
            return self.answer(200, lists)
        return self.answer(404, {})

    def row(self, run):
        worked_ms = (time.monotonic() - run.started_s) * 1000
        percent = 100
        if run.work_ms:
            percent = min(99, int(100 * worked_ms / run.work_ms))
        saved_ms = worked_ms - worked_ms % (1000 * CHECKPOINT_S)
        if run.saves and saved_ms:
            run.saved = f"{int(saved_ms):08x}{self.born % 2**32:08x}"
        return [run.task, run.run, run.saved, percent, 100]

    def extend(self, body):
        deadline_ms = min(
            body.get("DeadlineMs", 0), self.clock_ms + MAX_HOLD_MS
        )
        self.lease_ms = max(self.lease_ms, deadline_ms)

    def run_start(self, body):
        task, number = body["Task"], body["Run"]
        if body["DeadlineMs"] <= self.clock_ms:
            return 409, {"Reason": "late"}
        self.extend(body)
        known = self.running.get(task)
        if known is not None and known.run == number:
            return 200, {}
        if number <= self.closed.get(task, 0) or known is not None:
            return 409, {"Reason": "old"}
        run = Run(
            task,
            number,
            body["Spec"],
            body.get("LastCheckpoint", ""),
            time.monotonic(),
        )
        self.running[task] = run
        self.world.checker.on_start(self, run)
        if run.gang:
            self.world.gangs.on_start(self, run)
        if self.fails_all or run.hopeless:
            self.end(run, "failed")
        return 200, {}

    def run_stop(self, body):
        task, number = body["Task"], body["Run"]
        run = self.running.get(task)
        if run is not None and run.run <= number and run.stop_at_s is None:
            run.stop_at_s = time.monotonic() + STOP_S
        self.closed[task] = max(number, self.closed.get(task, 0))

    def answer(self, status, body):
        body = {"ClockMs": self.clock_ms, "born": self.born, **body}
        return status, json.dumps(body).encode()
