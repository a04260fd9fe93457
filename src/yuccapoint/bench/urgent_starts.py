"""How soon urgent jobs start beside a long queue at the peak rate."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec

from yuccapoint.bench.batch_shape import CAPACITIES
from yuccapoint.bench.batch_shape import make_job
from yuccapoint.bench.batch_world import BatchWorld
from yuccapoint.bench.recovery_times import percentile
from yuccapoint.connection.log_writer import LogWriter
from yuccapoint.job.records import JobSubmitted

if TYPE_CHECKING:
    from yuccapoint.job.job import Job

MILLICORES = 16_000_000
MIN_RUN_S = 0.5
MAX_RUN_S = 3.5
ENTRIES = 3
QUEUED = 100_000
OFFERED_PER_S = 5_000
URGENT_EVERY = 10
STEP_S = 0.1
SETTLED_S = 4.0
RAMP_S = 1.0
MEASURED_S = 2.0
TAIL_S = 2.0
CANCELS = 10_000


class UrgentFigures(msgspec.Struct):
    """Starts of urgent jobs and what they cost the log."""

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
    """A saturated cell with jobs of a few seconds.

    Parameters
    ----------
    deployment : str
        Gives the VMs' capacity.
    seed : int
        Seed of the load.
    """

    def __init__(self, deployment: str, seed: int) -> None:
        self._rng = random.Random(seed)
        vms = MILLICORES // CAPACITIES[deployment].millicores
        self._world = BatchWorld(deployment, seed, vms=vms, entries=ENTRIES)
        self._number = 0
        self._urgent: dict[str, float] = {}
        self._end_s = 0.0

    def run(self) -> UrgentFigures:
        """Fill the queue, offer the peak, cancel a wave, measure."""
        world = self._world
        world.run(SETTLED_S)
        self._fill_queue()
        self._offer(SETTLED_S + RAMP_S)
        self._urgent.clear()
        begin_s = world.now_s
        appends, size_bytes = world.appends, world.append_bytes
        started = len(world.oracle.starts)
        self._cancel_wave()
        self._offer(begin_s + MEASURED_S)
        took_s = world.now_s - begin_s
        started = len(world.oracle.starts) - started
        appends = world.appends - appends
        size_bytes = world.append_bytes - size_bytes
        self._end_s = world.now_s + TAIL_S
        world.run(self._end_s)
        waits_s = [self._wait_s(job_id) for job_id in self._urgent]
        missing = [j for j in self._urgent if j not in world.oracle.starts]
        refused = sum(e.leader.refused_claims for e in world.entries)
        return UrgentFigures(
            round(percentile(waits_s, 0.5), 3),
            round(percentile(waits_s, 0.99), 3),
            len(waits_s),
            len(missing),
            round((started - len(waits_s) + len(missing)) / took_s, 1),
            round(started / took_s, 1),
            len(world.oracle.board.queued),
            round(appends / took_s, 1),
            round(size_bytes / max(1, started), 1),
            round(refused / max(1, len(world.oracle.starts) + refused), 4),
        )

    def _job(self, *, urgent: bool) -> Job:
        self._number += 1
        job = make_job(self._number, self._rng, urgent=urgent)
        run_s = self._rng.uniform(MIN_RUN_S, MAX_RUN_S)
        return msgspec.structs.replace(job, command=f"run_s={run_s:.1f}")

    def _fill_queue(self) -> None:
        writer = LogWriter("loader@1")
        for _ in range(QUEUED):
            writer.add(
                JobSubmitted(self._job(urgent=False)), 0.0, bounded=False
            )
        while True:
            data = writer.next_append(1.0)
            if data is None:
                return
            self._world.log.append(data, self._world.now_ms)
            writer.on_appended(writer.sequence)

    def _offer(self, until_s: float) -> None:
        world = self._world
        while world.now_s < until_s - STEP_S / 2:
            for count in range(int(OFFERED_PER_S * STEP_S)):
                job = self._job(urgent=count % URGENT_EVERY == 0)
                if job.urgent:
                    self._urgent[job.job_id] = world.now_s
                world.submit(job)
            world.run(world.now_s + STEP_S)

    def _cancel_wave(self) -> None:
        waiting = list(self._world.oracle.board.queued)[-CANCELS:]
        for job_id in waiting:
            self._world.entries[0].cancel(job_id)

    def _wait_s(self, job_id: str) -> float:
        starts = self._world.oracle.starts.get(job_id)
        end_s = starts[0] if starts else self._end_s
        return end_s - self._urgent[job_id]
