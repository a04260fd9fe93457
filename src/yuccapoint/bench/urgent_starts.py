"""Start latency of urgent jobs at the peak rate with a long queue."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec

from yuccapoint.bench.batch_simulation import BatchSimulation
from yuccapoint.bench.batch_workload import CAPACITIES
from yuccapoint.bench.batch_workload import make_job
from yuccapoint.bench.recovery_times import percentile
from yuccapoint.connection.log_writer import LogWriter
from yuccapoint.job.records import JobSubmitted

if TYPE_CHECKING:
    from yuccapoint.job.job import Job

CELL_MILLICORES = 16_000_000
MIN_RUN_S = 0.5
MAX_RUN_S = 3.5
ENTRY_COUNT = 3
QUEUED_JOBS = 100_000
SUBMISSIONS_PER_S = 5_000
URGENT_JOB_INTERVAL = 10
STEP_S = 0.1
TICK_S = 0.05
SETTLE_S = 4.0
WARMUP_S = 1.0
MEASUREMENT_S = 2.0
DRAIN_S = 2.0
CANCELLED_JOBS = 10_000


class UrgentFigures(msgspec.Struct):
    """Start latency of urgent jobs, throughput and load of the log."""

    urgent_start_p50_s: float
    urgent_start_p99_s: float
    urgent_jobs: int
    urgent_not_started: int
    other_starts_per_s: float
    starts_per_s: float
    queued_at_end: int
    appends_per_s: float
    bytes_per_job: float
    refused_claims_share: float


class UrgentStarts:
    """Measures a saturated cell whose jobs run for a few seconds.

    Parameters
    ----------
    deployment : str
        Name of the deployment, which determines the VMs' capacity.
    seed : int
        Seed of the load.
    """

    def __init__(self, deployment: str, seed: int) -> None:
        self._rng = random.Random(seed)
        vms = CELL_MILLICORES // CAPACITIES[deployment].millicores
        self._simulation = BatchSimulation(
            deployment, seed, vms=vms, entries=ENTRY_COUNT, tick_s=TICK_S
        )
        self._job_number = 0
        self._urgent_submitted_s: dict[str, float] = {}
        self._end_s = 0.0

    def run(self) -> UrgentFigures:
        """Fill the queue, submit at the peak rate, cancel jobs and measure."""
        simulation = self._simulation
        simulation.run(SETTLE_S)
        self._fill_queue()
        self._submit_until(SETTLE_S + WARMUP_S)
        self._urgent_submitted_s.clear()
        begin_s = simulation.now_s
        appends, size_bytes = simulation.appends, simulation.append_bytes
        started = len(simulation.oracle.starts)
        self._cancel_jobs()
        self._submit_until(begin_s + MEASUREMENT_S)
        duration_s = simulation.now_s - begin_s
        started = len(simulation.oracle.starts) - started
        appends = simulation.appends - appends
        size_bytes = simulation.append_bytes - size_bytes
        self._end_s = simulation.now_s + DRAIN_S
        simulation.run(self._end_s)
        waits_s = [self._wait_s(job_id) for job_id in self._urgent_submitted_s]
        not_started = [
            j
            for j in self._urgent_submitted_s
            if j not in simulation.oracle.starts
        ]
        refused = sum(e.leader.refused_claims for e in simulation.entries)
        return UrgentFigures(
            round(percentile(waits_s, 0.5), 3),
            round(percentile(waits_s, 0.99), 3),
            len(waits_s),
            len(not_started),
            round((started - len(waits_s) + len(not_started)) / duration_s, 1),
            round(started / duration_s, 1),
            len(simulation.oracle.board.queued),
            round(appends / duration_s, 1),
            round(size_bytes / max(1, started), 1),
            round(
                refused / max(1, len(simulation.oracle.starts) + refused), 4
            ),
        )

    def _next_job(self, *, urgent: bool) -> Job:
        self._job_number += 1
        job = make_job(self._job_number, self._rng, urgent=urgent)
        run_s = self._rng.uniform(MIN_RUN_S, MAX_RUN_S)
        return msgspec.structs.replace(job, command=f"run_s={run_s:.1f}")

    def _fill_queue(self) -> None:
        writer = LogWriter("loader@1")
        for _ in range(QUEUED_JOBS):
            writer.add(
                JobSubmitted(self._next_job(urgent=False)), 0.0, bounded=False
            )
        while True:
            data = writer.next_append(1.0)
            if data is None:
                return
            self._simulation.log.append(data, self._simulation.now_ms)
            writer.on_appended(writer.sequence)

    def _submit_until(self, until_s: float) -> None:
        simulation = self._simulation
        while simulation.now_s < until_s - STEP_S / 2:
            for count in range(int(SUBMISSIONS_PER_S * STEP_S)):
                job = self._next_job(urgent=count % URGENT_JOB_INTERVAL == 0)
                if job.urgent:
                    self._urgent_submitted_s[job.job_id] = simulation.now_s
                simulation.submit(job)
            simulation.run(simulation.now_s + STEP_S)

    def _cancel_jobs(self) -> None:
        job_ids = list(self._simulation.oracle.board.queued)[-CANCELLED_JOBS:]
        for job_id in job_ids:
            self._simulation.entries[0].cancel(job_id)

    def _wait_s(self, job_id: str) -> float:
        starts = self._simulation.oracle.starts.get(job_id)
        end_s = starts[0] if starts else self._end_s
        return end_s - self._urgent_submitted_s[job_id]
