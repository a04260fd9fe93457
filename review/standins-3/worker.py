"""Stand-in of a worker, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import heapq
import time

from http_service import call
from http_service import NoAnswer
from http_service import serve

MAX_LISTED_ENDS = 500
BEAT_S = 1.1


class Run:
    """A task at work."""

    __slots__ = (
        "ends_at_ms", "number", "saves", "started_ms", "stopping", "task"
    )

    def __init__(self, task, number, started_ms, ends_at_ms, saves):
        self.task = task
        self.number = number
        self.started_ms = started_ms
        self.ends_at_ms = ends_at_ms
        self.saves = saves
        self.stopping = False


class Worker:
    """Runs tasks under a lease of its own clock.

    ``duration_s(task)`` is how long a task works, ``saves(task)`` whether it
    checkpoints. ``note(what, **fields)`` records starts and ends. ``before``
    is awaited before each call, as for the store.
    """

    def __init__(
        self,
        worker_id,
        service,
        address,
        control,
        *,
        duration_s,
        note,
        saves=lambda task: False,
        cpu=64_000,
        mem_mb=256_000,
        zone="z1",
        rack="r1-1",
        max_hold_ms=6_000,
        stop_ms=200,
        checkpoint_ms=500,
        before=None,
    ):
        self.worker_id = worker_id
        self.service = service
        self.address = address
        self.control = control
        self.duration_s = duration_s
        self.note = note
        self.saves = saves
        self.cpu, self.mem_mb = cpu, mem_mb
        self.zone, self.rack = zone, rack
        self.max_hold_ms = max_hold_ms
        self.stop_ms = stop_ms
        self.checkpoint_ms = checkpoint_ms
        self.before = before
        self.beats = True
        self.up = True
        self.begin()

    def begin(self):
        """Begin a life in which nothing of before is known."""
        self.born = time.time_ns() // 1_000_000
        self.clock_zero_s = time.monotonic()
        self.lease_until_ms = 0
        self.token = 0
        self.seq = 0
        self.runs = {}
        self.closed = {}
        self.ends = []
        self.end_number = 0
        self.ending = []
        self.ended = asyncio.Event()

    def crash(self):
        """End without a word; calls get no answer until ``restart``."""
        self.up = False
        self.beats = False
        self.runs = {}

    def restart(self):
        """Start again under the same id."""
        self.begin()
        self.up = True
        self.beats = True

    @property
    def clock_ms(self):
        return int((time.monotonic() - self.clock_zero_s) * 1000)

    async def start(self):
        self.server = await serve(self.address, self.handle)
        self.tasks = [
            asyncio.ensure_future(self.check_in()),
            asyncio.ensure_future(self.tick()),
        ]

    async def check_in(self):
        while True:
            if self.beats:
                await self.beat()
            await asyncio.sleep(BEAT_S)

    async def beat(self):
        self.seq += 1
        body = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Capacity": {"Cpu": self.cpu, "MemMb": self.mem_mb, "Gpu": 0},
            "Labels": ["a", self.rack],
            "ClockMs": self.clock_ms,
            "Seq": self.seq,
            "born": self.born,
        }
        target = f"/yuccapoint/instances/{self.worker_id}"
        await call(self.control, "PUT", target, body, timeout_s=1.0)

    async def tick(self):
        while True:
            await asyncio.sleep(0.02)
            now_ms = self.clock_ms
            if now_ms > self.lease_until_ms and self.runs:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            while self.ending and self.ending[0][0] <= now_ms:
                _, _, run, how = heapq.heappop(self.ending)
                if self.runs.get(run.task) is run:
                    if run.stopping and how == "done":
                        continue
                    self.end(run, how)

    def checkpoint(self, run):
        if not run.saves:
            return ""
        worked_ms = self.clock_ms - run.started_ms
        steps = worked_ms // self.checkpoint_ms
        if not steps:
            return ""
        return f"{steps:08x}{abs(hash(run.task)) % 16**8:08x}"

    def end(self, run, how):
        del self.runs[run.task]
        self.closed[run.task] = max(run.number, self.closed.get(run.task, 0))
        self.end_number += 1
        saved = self.checkpoint(run)
        self.ends.append([self.end_number, run.task, run.number, how, saved])
        self.note("end", worker=self.worker_id, task=run.task, run=run.number, how=how)
        self.ended.set()
        self.ended = asyncio.Event()

    async def handle(self, request):
        if not self.up:
            raise NoAnswer
        life = self.born
        answer = await self.answer(request)
        if not self.up or self.born != life:
            raise NoAnswer
        return answer

    async def answer(self, request):
        if self.before is not None:
            answer = await self.before(self, request)
            if answer is not None:
                return answer
        expected = request.headers.get("yuccapoint-expect-instance")
        if expected not in (None, self.worker_id):
            return 421, {"ClockMs": self.clock_ms, "born": self.born}
        body = request.json()
        token = body.get("FencingToken", 0)
        if token < self.token:
            return self.refusal("fence")
        self.token = token
        now_ms = self.clock_ms
        if now_ms > self.lease_until_ms:
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
        if "DeadlineMs" in body:
            until_ms = min(body["DeadlineMs"], now_ms + self.max_hold_ms)
            self.lease_until_ms = max(self.lease_until_ms, until_ms)
        name = request.path.rpartition("/")[2]
        if name == "run-start":
            return self.run_start(body)
        if name == "run-stop":
            return self.run_stop(body)
        if name == "hold":
            return await self.hold(body)
        if name == "pace":
            return 200, {"ClockMs": self.clock_ms}
        return 404, {"ClockMs": self.clock_ms}

    def refusal(self, reason):
        return 409, {
            "ClockMs": self.clock_ms, "Reason": reason, "born": self.born
        }

    def run_start(self, body):
        task, number = body["Task"], body["Run"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            return 200, {"ClockMs": self.clock_ms}
        if number <= self.closed.get(task, 0):
            return self.refusal("old")
        if body["DeadlineMs"] <= self.clock_ms:
            return self.refusal("late")
        now_ms = self.clock_ms
        if run is not None:
            self.end(run, "stopped")
        ends_at_ms = now_ms + int(self.duration_s(task) * 1000)
        run = Run(task, number, now_ms, ends_at_ms, self.saves(task))
        self.runs[task] = run
        heapq.heappush(self.ending, (ends_at_ms, id(run), run, "done"))
        self.note(
            "start", worker=self.worker_id, task=task, run=number,
            saved=body.get("LastCheckpoint", ""),
        )
        return 200, {"ClockMs": now_ms}

    def run_stop(self, body):
        task, number = body["Task"], body["Run"]
        run = self.runs.get(task)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            at_ms = self.clock_ms + self.stop_ms
            heapq.heappush(self.ending, (at_ms, id(run), run, "stopped"))
        if run is None or run.number < number:
            self.closed[task] = max(number, self.closed.get(task, 0))
        return 200, {"ClockMs": self.clock_ms}

    async def hold(self, body):
        seen = body.get("LastSeen", 0)
        self.ends = [end for end in self.ends if end[0] > seen]
        until_s = time.monotonic() + body.get("WaitMs", 0) / 1000
        while not self.ends and time.monotonic() < until_s:
            waiter = asyncio.ensure_future(self.ended.wait())
            await asyncio.wait([waiter], timeout=until_s - time.monotonic())
            waiter.cancel()
        running = []
        now_ms = self.clock_ms
        for run in self.runs.values():
            span = max(1, run.ends_at_ms - run.started_ms)
            percent = min(99, 100 * (now_ms - run.started_ms) // span)
            running.append(
                [run.task, run.number, self.checkpoint(run), percent, 1.0]
            )
        return 200, {
            "ClockMs": self.clock_ms,
            "born": self.born,
            "Running": running,
            "Finished": self.ends[:MAX_LISTED_ENDS],
        }
