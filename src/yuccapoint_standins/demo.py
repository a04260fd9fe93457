"""Shows a deployment at work, with faults, in less than a minute."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import eliot
import msgspec

from yuccapoint.job.job import Job
from yuccapoint.job.job_entry import JobState
from yuccapoint.job.records import JobSubmitted
from yuccapoint.job.records import RouteEdited
from yuccapoint.job.size import Size
from yuccapoint.process.process_logger import format_message
from yuccapoint_standins.caller_load import CallerLoad
from yuccapoint_standins.deployment import Deployment
from yuccapoint_standins.deployment import SHAPES
from yuccapoint_standins.promise_checker import PromiseChecker
from yuccapoint_standins.promise_checker import Violations

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint_standins.deployment import Machine

VMS = 11
ENTRIES = 3
JOBS = 40
LOAD_S = 22.0
REQUESTS_PER_S = 60.0
SAMPLE_S = 0.02
SHOWN_PARTS = ("place", "guard", "lease", "log", "tables")
MAX_SHOWN_OF_A_PART = 6
JOBS_TIMEOUT_S = 25.0
NOISY_RUN_S = 3.0


class Demo:
    """One run of the demonstration.

    Parameters
    ----------
    name : str
        Name of the deployment.
    seed : int
        Seed of the load.
    """

    def __init__(self, name: str, seed: int) -> None:
        self.rng = random.Random(seed)
        self.deployment = Deployment(SHAPES[name], VMS, ENTRIES, seed)
        self.checker = PromiseChecker(self.deployment)
        self.load = CallerLoad(self.deployment, self.checker, self.rng)
        self.submitted: set[str] = set()
        self.started_s = time.monotonic()
        self.in_force_s = 0.0
        self._shown: dict[str, int] = {}

    def say(self, text: str) -> None:
        """Print a line with the time since the start."""
        print(f"{time.monotonic() - self.started_s:6.2f} s  {text}")

    async def run(self) -> int:
        """Run everything and give the exit code."""
        eliot.add_destinations(self._show)
        await self.deployment.start()
        self.say(f"{VMS} VMs and {ENTRIES} entries are ready")
        sampler = asyncio.ensure_future(self._sample())
        await self._submit_jobs()
        until_s = time.monotonic() + LOAD_S
        tables = self.deployment.entries[0].cell.tables.current
        loads = [
            self.load.run(
                route.prefix,
                REQUESTS_PER_S / len(tables.routes),
                until_s,
                idempotent=route.idempotent,
            )
            for route in tables.routes.values()
        ]
        await asyncio.gather(self._faults(), *loads)
        await self._wait_jobs()
        sampler.cancel()
        code = self._table()
        self.load.close()
        self.deployment.close()
        return code

    def _show(self, message: dict[str, str]) -> None:
        part = message.get("message_type", "")
        if part not in SHOWN_PARTS:
            return
        self._shown[part] = self._shown.get(part, 0) + 1
        if self._shown[part] > MAX_SHOWN_OF_A_PART:
            return
        self.say("    " + format_message(message))

    async def _sample(self) -> None:
        while True:
            self.checker.sample()
            await asyncio.sleep(SAMPLE_S)

    async def _submit_jobs(self) -> None:
        shape = self.deployment.shape
        pool = self.deployment.entries[0].cell.tables.current.pools[shape.pool]
        teams = sorted(pool.team_quota_millicores)
        for number in range(JOBS):
            noise = 0.9 if number % 10 == 3 else 0.02
            run_s = self.rng.uniform(2.0, 7.0)
            if noise > 0.5:
                run_s = NOISY_RUN_S
            job = Job(
                job_id=f"sheet-{number}",
                team=teams[number % len(teams)],
                customer=f"customer-{number % 5}",
                job_class="noisy" if noise > 0.5 else "quiet",
                pool=shape.pool,
                size=Size(shape.capacity.millicores // 8, 1 << 30, 0),
                run_time_s=self.rng.uniform(0.5, 20.0),
                urgent=number % 7 == 0,
                command=f"run_s={run_s:.2f} noise={noise}",
            )
            await self._commit_job(job)
        impossible = Job(
            job_id="impossible",
            team=teams[0],
            customer="customer-0",
            job_class="quiet",
            pool=shape.pool,
            size=Size(1000, 1 << 30, 50),
            run_time_s=1.0,
        )
        await self._commit_job(impossible)
        self.say(f"{len(self.submitted)} jobs were submitted")

    async def _commit_job(self, job: Job) -> None:
        entry = self.rng.choice(self.deployment.entries)
        await entry.commits.commit(JobSubmitted(job), time.monotonic(), 5.0)
        self.submitted.add(job.job_id)

    async def _faults(self) -> None:
        await asyncio.sleep(2.0)
        drained = self._busiest()
        evicted = list(drained.worker.model.tasks)
        self.say(f"drain {drained.agent.name}, which runs {evicted}")
        drained.agent.drain()
        await asyncio.sleep(2.0)
        machine = self._busiest()
        count = len(machine.worker.model.tasks)
        self.say(f"kill {machine.agent.name}, which runs {count} tasks")
        self.checker.sample()
        machine.die()
        await asyncio.sleep(3.0)
        self._show_steps(evicted)
        await self._change_route()
        await asyncio.sleep(1.0)
        self.say("the log goes down")
        self.deployment.log.faults.down = True
        await asyncio.sleep(5.0)
        self.say("the log is back, with lost answers")
        self.deployment.log.faults.down = False
        self.deployment.log.faults.lost_answers = 0.3
        await asyncio.sleep(3.0)
        self.deployment.log.faults.lost_answers = 0.0

    def _busiest(self) -> Machine:
        return max(
            (m for m in self._live() if not m.agent.stopping),
            key=lambda m: len(m.worker.model.tasks),
        )

    def _show_steps(self, job_ids: list[str]) -> None:
        board = self.deployment.entries[0].cell.board
        for job_id in job_ids[:1]:
            for step in board.jobs[job_id].steps:
                self.say(f"    {job_id}: {step.text}")

    async def _change_route(self) -> None:
        entry = self.deployment.entries[0]
        name, row = next(iter(entry.cell.tables.routes.items()))
        changed = msgspec.structs.replace(row.row, timeout_s=3.0)
        edit = RouteEdited(name, row.version, "demo-edit", "demo", changed)
        started_s = time.monotonic()
        await entry.commits.commit(edit, started_s, 5.0)
        version = entry.cell.tables.version
        await self._until(lambda: self._in_force(version), 7.0)
        self.in_force_s = time.monotonic() - started_s
        self.say(
            f"version {version} is in force everywhere after "
            f"{self.in_force_s:.2f} s"
        )

    def _in_force(self, version: int) -> bool:
        for entry in self.deployment.entries:
            if entry.cell.tables.version < version:
                return False
        for machine in self._live():
            if machine.agent.tables.version < version:
                return False
        return True

    def _live(self) -> list[Machine]:
        return [
            machine
            for machine in self.deployment.machines
            if machine.agent.alive
        ]

    async def _until(self, done: Callable[[], bool], timeout_s: float) -> bool:
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            if done():
                return True
            await asyncio.sleep(0.02)
        return False

    async def _wait_jobs(self) -> None:
        board = self.deployment.entries[0].cell.board

        def over() -> bool:
            return all(board.jobs[j].state.final for j in self.submitted)

        if not await self._until(over, JOBS_TIMEOUT_S):
            self.say("some jobs are not over yet")
        self.checker.check_jobs(self.submitted)
        self.checker.check_runs(
            self.load.once, self.load.not_run, self.load.runs()
        )

    def _table(self) -> int:
        board = self.deployment.entries[0].cell.board
        jobs = [board.jobs[job_id] for job_id in sorted(self.submitted)]
        took_s = time.monotonic() - self.started_s
        done = sum(job.state is JobState.DONE for job in jobs)
        evictions = sum(
            machine.agent.guard.evictions
            for machine in self.deployment.machines
        )
        print()
        print("users' measures")
        print(f"  requests sent / answered    {self._counts()}")
        print(f"  latency p50                 {self._ms(0.5)}")
        print(f"  latency p99                 {self._ms(0.99)}")
        print(f"  batch jobs done             {done} of {len(jobs)}")
        print(f"  batch throughput            {done / took_s:.2f} jobs/s")
        print(f"  evictions by the guard      {evictions}")
        print(f"  resumptions                 {sum(j.resumes for j in jobs)}")
        print(f"  change in force after       {self.in_force_s:.2f} s")
        print("violations of the promises")
        total = 0
        for name in Violations.__struct_fields__:
            count = getattr(self.checker.violations, name)
            total += count
            print(f"  {name:<27} {count}")
        return 1 if total else 0

    def _counts(self) -> str:
        load = self.load
        return (
            f"{load.sent} / {load.answered}, {len(load.not_run)} refused as "
            f"not run, {load.unknown} not known"
        )

    def _ms(self, share: float) -> str:
        return f"{self.load.percentile_s(share) * 1000:.1f} ms"


def run_demo(name: str, seed: int) -> int:
    """Run the demonstration and give the exit code."""
    return asyncio.run(_run(name, seed))


async def _run(name: str, seed: int) -> int:
    return await Demo(name, seed).run()
