from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import sys
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

sys.path.append(str(pathlib.Path(__file__).parents[2]))

from soak.long_running_check import LongRunningCheck  # noqa: E402
from soak.long_running_check import MAX_WAIT_S  # noqa: E402
from soak.oracle import Oracle  # noqa: E402
from soak.seed_run import sample_long_running  # noqa: E402
from soak.soak_job import SoakJob  # noqa: E402
from soak.soak_worker import MAX_HOPELESS_RUN_S  # noqa: E402
from soak.soak_worker import SoakWorker  # noqa: E402
from yuccapoint_standins import platform_worker  # noqa: E402

if TYPE_CHECKING:
    from behave.runner import Context

JOB_ID = "a" * 16
FILLING_JOB_ID = "b" * 16
TASK = f"{JOB_ID}.0.0.0"
SAMPLE_INTERVAL_S = 0.1


class CheckedSoak:
    """Drives the check of long-running tasks on simulated time."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.oracle = Oracle(lambda: self.now_s)
        self.check = LongRunningCheck(self.oracle)
        # Calm since before the job was submitted.
        self.workers = [object(), object()]
        self.job = SoakJob(JOB_ID, "payload", [1], 0.0)
        self.oracle.jobs[JOB_ID] = self.job
        self.pass_time(20.0)

    def pass_time(self, seconds: float) -> None:
        """Sample regularly."""
        for _ in range(round(seconds / SAMPLE_INTERVAL_S)):
            self.now_s += SAMPLE_INTERVAL_S
            self.check.sample(self.workers)

    def start(self, task: str, worker: object) -> None:
        job = self.oracle.jobs[task.partition(".")[0]]
        body = {"Task": task, "Run": 1, "Spec": job.payload}
        self.oracle.on_start(body, worker)

    def fill(self, spared_tasks: int) -> None:
        """Fill the workers but for room for some long-running tasks.

        The job that does so is not accepted: its tasks are not owed.
        """
        job = SoakJob(FILLING_JOB_ID, "payload", [0], 1.0)
        fits = platform_worker.CAPACITY_CPU_MILLI // job.cpu_milli
        job.steps = [fits * len(self.workers)]
        self.oracle.jobs[FILLING_JOB_ID] = job
        for number, task in enumerate(job.tasks[spared_tasks:]):
            self.start(task, self.workers[number % len(self.workers)])

    def make_room(self) -> None:
        for task in self.oracle.jobs[FILLING_JOB_ID].tasks:
            for worker in self.workers:
                self.oracle.on_end(task, worker, "done")

    def handle(self, event: str) -> None:
        """Play an event."""
        if event.endswith(" s"):
            self.pass_time(float(event.removesuffix(" s")))
        elif event == "accepted":
            self.job.accepted_at_s = self.now_s
        elif event == "cancelled":
            self.job.cancel_attempted = True
        elif event == "start":
            self.start(TASK, self.workers[0])
        elif event == "failed":
            self.oracle.on_end(TASK, self.workers[0], "failed")
        elif event == "reported failed":
            self.oracle.on_state(self.job, "entry", 200, "failed")
        elif event == "disturbed":
            self.check.on_disturbance()
        elif event == "held up":
            self.now_s += 2.0
            self.check.sample(self.workers)
        elif event == "one worker down":
            self.workers.pop()
        elif event == "both workers down":
            self.workers.clear()
        elif event == "full":
            self.fill(0)
        elif event == "full but for one":
            self.fill(1)
        elif event == "room":
            self.make_room()
        else:
            raise AssertionError(f"unknown event {event}")


@given("a soak job of one long-running task and two workers with room")
def checked_soak(context: Context) -> None:
    context.soak = CheckedSoak()
    context.oracle = context.soak.oracle


@when('a calm soak goes on as "{events}"')
def play_events(context: Context, events: str) -> None:
    for event in events.split(", "):
        context.soak.handle(event)


@given("a long-running job whose tasks fail at once was accepted")
def hopeless_job(context: Context) -> None:
    world = context.world
    job = SoakJob(JOB_ID, "payload", [2], 0.0)
    world.oracle.jobs[JOB_ID] = job
    context.oracle = world.oracle
    step = {"Count": 2, "Cpu": job.cpu_milli, "MemMb": 64, "Persistent": True}
    context.loop.run_until_complete(
        world.submit_job(job, [step], random.Random(1))
    )
    assert job.accepted


@when("all entries are paused for {seconds:d} s unknown to the check")
def pause_unknown(context: Context, seconds: int) -> None:
    world = context.world

    async def run() -> None:
        samples = asyncio.ensure_future(sample_long_running(world, []))
        # The first runs of the tasks have ended by then.
        await asyncio.sleep(MAX_WAIT_S)
        assert world.oracle.starts
        for name in world.entries:
            world.signal(name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        samples.cancel()

    context.loop.run_until_complete(run())


@given("a worker of the soak that runs a task that fails at once")
def hopeless_task(context: Context) -> None:
    address = "127.0.0.1:1"
    oracle = Oracle()
    oracle.jobs[JOB_ID] = SoakJob(JOB_ID, "payload", [1], 0.0)
    context.worker = SoakWorker(oracle, "i-0", address, address, address, 60.0)
    body = {
        "Task": TASK,
        "Run": 1,
        "Spec": "payload",
        "DeadlineMs": 2**40,
    }
    context.worker._lease_until_ms = body["DeadlineMs"]
    assert context.worker._start(body)[0] == 200


@when("the task ends")
def end_task(context: Context) -> None:
    context.loop.run_until_complete(_tick_until_end(context.worker))


async def _tick_until_end(worker: SoakWorker) -> None:
    ticks = asyncio.ensure_future(worker._tick())
    await asyncio.sleep(2 * MAX_HOPELESS_RUN_S)
    ticks.cancel()


@then("its end is listed as failed")
def failed_end(context: Context) -> None:
    assert context.worker._ended_tasks == [[1, TASK, 1, "failed", ""]]
