"""Runs a deployment under load and faults in less than a minute."""

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
from yuccapoint_standins.deployment import SPECS_BY_NAME
from yuccapoint_standins.invariant_checker import InvariantChecker
from yuccapoint_standins.invariant_checker import Violations

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint_standins.deployment import StandInVm

VM_COUNT = 11
ENTRY_COUNT = 3
JOB_COUNT = 40
LOAD_DURATION_S = 22.0
REQUESTS_PER_S = 60.0
SAMPLE_INTERVAL_S = 0.02
PRINTED_LOG_PARTS = ("place", "guard", "lease", "log", "tables")
MAX_PRINTED_LINES_PER_PART = 6
JOBS_TIMEOUT_S = 25.0
NOISY_JOB_RUN_TIME_S = 3.0


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
        self.deployment = Deployment(
            SPECS_BY_NAME[name], VM_COUNT, ENTRY_COUNT, seed
        )
        self.checker = InvariantChecker(self.deployment)
        self.load = CallerLoad(self.deployment, self.checker, self.rng)
        self.submitted: set[str] = set()
        self.started_s = time.monotonic()
        self.propagation_s = 0.0
        self._printed_lines: dict[str, int] = {}

    def print_line(self, text: str) -> None:
        """Print a line with the time since the start."""
        print(f"{time.monotonic() - self.started_s:6.2f} s  {text}")

    async def run(self) -> int:
        """Run all phases and return the exit code."""
        eliot.add_destinations(self._print_log_line)
        await self.deployment.start()
        self.print_line(f"{VM_COUNT} VMs and {ENTRY_COUNT} entries are ready")
        sampler = asyncio.ensure_future(self._sample())
        await self._submit_jobs()
        until_s = time.monotonic() + LOAD_DURATION_S
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
        await asyncio.gather(self._inject_faults(), *loads)
        await self._wait_jobs()
        sampler.cancel()
        code = self._print_summary()
        self.load.close()
        self.deployment.close()
        return code

    def _print_log_line(self, message: dict[str, str]) -> None:
        part = message.get("message_type", "")
        if part not in PRINTED_LOG_PARTS:
            return
        self._printed_lines[part] = self._printed_lines.get(part, 0) + 1
        if self._printed_lines[part] > MAX_PRINTED_LINES_PER_PART:
            return
        self.print_line("    " + format_message(message))

    async def _sample(self) -> None:
        while True:
            self.checker.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _submit_jobs(self) -> None:
        spec = self.deployment.spec
        pool = self.deployment.entries[0].cell.tables.current.pools[spec.pool]
        teams = sorted(pool.team_quota_millicores)
        for number in range(JOB_COUNT):
            noise = 0.9 if number % 10 == 3 else 0.02
            run_s = self.rng.uniform(2.0, 7.0)
            if noise > 0.5:
                run_s = NOISY_JOB_RUN_TIME_S
            job = Job(
                job_id=f"sheet-{number}",
                team=teams[number % len(teams)],
                customer=f"customer-{number % 5}",
                job_class="noisy" if noise > 0.5 else "quiet",
                pool=spec.pool,
                size=Size(spec.capacity.millicores // 8, 1 << 30, 0),
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
            pool=spec.pool,
            size=Size(1000, 1 << 30, 50),
            run_time_s=1.0,
        )
        await self._commit_job(impossible)
        self.print_line(f"{len(self.submitted)} jobs were submitted")

    async def _commit_job(self, job: Job) -> None:
        entry = self.rng.choice(self.deployment.entries)
        await entry.commits.commit(JobSubmitted(job), time.monotonic(), 5.0)
        self.submitted.add(job.job_id)

    async def _inject_faults(self) -> None:
        await asyncio.sleep(2.0)
        drained = self._busiest_vm()
        evicted = list(drained.worker.model.tasks)
        self.print_line(f"drain {drained.agent.name}, which runs {evicted}")
        drained.agent.drain()
        await asyncio.sleep(2.0)
        vm = self._busiest_vm()
        count = len(vm.worker.model.tasks)
        self.print_line(f"kill {vm.agent.name}, which runs {count} tasks")
        self.checker.sample()
        vm.crash()
        await asyncio.sleep(3.0)
        self._print_steps(evicted)
        await self._change_route()
        await asyncio.sleep(1.0)
        self.print_line("the log becomes unavailable")
        self.deployment.log.faults.down = True
        await asyncio.sleep(5.0)
        self.print_line("the log is available again, with lost responses")
        self.deployment.log.faults.down = False
        self.deployment.log.faults.lost_answers = 0.3
        await asyncio.sleep(3.0)
        self.deployment.log.faults.lost_answers = 0.0

    def _busiest_vm(self) -> StandInVm:
        return max(
            (vm for vm in self._live_vms() if not vm.agent.stopping),
            key=lambda vm: len(vm.worker.model.tasks),
        )

    def _print_steps(self, job_ids: list[str]) -> None:
        board = self.deployment.entries[0].cell.board
        for job_id in job_ids[:1]:
            for step in board.jobs[job_id].steps:
                self.print_line(f"    {job_id}: {step.text}")

    async def _change_route(self) -> None:
        entry = self.deployment.entries[0]
        name, row = next(iter(entry.cell.tables.routes.items()))
        changed = msgspec.structs.replace(row.row, timeout_s=3.0)
        edit = RouteEdited(name, row.version, "demo-edit", "demo", changed)
        started_s = time.monotonic()
        await entry.commits.commit(edit, started_s, 5.0)
        version = entry.cell.tables.version
        await self._wait_until(lambda: self._in_force(version), 7.0)
        self.propagation_s = time.monotonic() - started_s
        self.print_line(
            f"version {version} is in force everywhere after "
            f"{self.propagation_s:.2f} s"
        )

    def _in_force(self, version: int) -> bool:
        for entry in self.deployment.entries:
            if entry.cell.tables.version < version:
                return False
        for vm in self._live_vms():
            if vm.agent.tables.version < version:
                return False
        return True

    def _live_vms(self) -> list[StandInVm]:
        return [vm for vm in self.deployment.vms if vm.agent.alive]

    async def _wait_until(
        self, done: Callable[[], bool], timeout_s: float
    ) -> bool:
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            if done():
                return True
            await asyncio.sleep(0.02)
        return False

    async def _wait_jobs(self) -> None:
        board = self.deployment.entries[0].cell.board

        def all_jobs_final() -> bool:
            return all(board.jobs[j].state.final for j in self.submitted)

        if not await self._wait_until(all_jobs_final, JOBS_TIMEOUT_S):
            self.print_line("some jobs have not ended")
        self.checker.check_jobs(self.submitted)
        self.checker.check_runs(
            self.load.non_idempotent, self.load.not_run, self.load.count_runs()
        )

    def _print_summary(self) -> int:
        board = self.deployment.entries[0].cell.board
        jobs = [board.jobs[job_id] for job_id in sorted(self.submitted)]
        elapsed_s = time.monotonic() - self.started_s
        done = sum(job.state is JobState.DONE for job in jobs)
        evictions = sum(vm.agent.guard.evictions for vm in self.deployment.vms)
        print()
        print("measurements")
        print(f"  requests sent / answered    {self._request_counts()}")
        print(f"  latency p50                 {self._latency_ms(0.5)}")
        print(f"  latency p99                 {self._latency_ms(0.99)}")
        print(f"  batch jobs done             {done} of {len(jobs)}")
        print(f"  batch throughput            {done / elapsed_s:.2f} jobs/s")
        print(f"  evictions by the guard      {evictions}")
        print(f"  resumptions                 {sum(j.resumes for j in jobs)}")
        print(f"  change in force after       {self.propagation_s:.2f} s")
        print("invariant violations")
        total = 0
        for name in Violations.__struct_fields__:
            count = getattr(self.checker.violations, name)
            total += count
            print(f"  {name:<27} {count}")
        return 1 if total else 0

    def _request_counts(self) -> str:
        load = self.load
        return (
            f"{load.sent} / {load.answered}, {len(load.not_run)} refused as "
            f"not run, {load.unknown} unknown"
        )

    def _latency_ms(self, share: float) -> str:
        return f"{self.load.latency_percentile_s(share) * 1000:.1f} ms"


def run_demo(name: str, seed: int) -> int:
    """Run the demonstration and return the exit code."""
    return asyncio.run(_run(name, seed))


async def _run(name: str, seed: int) -> int:
    return await Demo(name, seed).run()
