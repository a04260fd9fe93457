"""Cost of a placement decision, by the number of VMs."""

from __future__ import annotations

import random
import time

from yuccapoint.bench.batch_workload import capacity_of
from yuccapoint.bench.batch_workload import make_job
from yuccapoint.bench.batch_workload import make_pool
from yuccapoint.bench.batch_workload import make_report
from yuccapoint.bench.batch_workload import POOL
from yuccapoint.job.actions import Append
from yuccapoint.job.batch_leader import BatchLeader
from yuccapoint.job.job_board import JobBoard
from yuccapoint.job.records import EntryRenewed
from yuccapoint.job.records import JobClaimed
from yuccapoint.job.records import JobFinished
from yuccapoint.job.records import JobSubmitted
from yuccapoint.job.records import VmAdopted

ENTRY = "entry@1"
QUEUED_JOBS = 100_000
DECISION_COUNT = 4_000
TICK_INTERVAL_S = 0.05
WARMUP_TICKS = 25


class PlacementCost:
    """Measures an entry that leads all VMs and has a long queue.

    Parameters
    ----------
    deployment : str
        Name of the deployment, which determines the VMs' capacity.
    seed : int
        Seed of the load.
    vms : int
        Number of VMs that the entry leads.
    placement : str
        Name of the placement policy.
    queued : int
        Number of queued jobs.

    Attributes
    ----------
    place_s : float
        Processor time of the scheduling passes that made claims.
    total_s : float
        ``place_s`` plus the time to apply the resulting records.
    decisions : int
        Number of claims made.
    """

    def __init__(
        self,
        deployment: str,
        seed: int,
        vms: int,
        placement: str = "spread",
        queued: int = QUEUED_JOBS,
    ) -> None:
        self._rng = random.Random(seed)
        pool = make_pool(placement)
        self._board = JobBoard(lambda name: pool if name == POOL else None)
        self._leader = BatchLeader(
            ENTRY, self._board, lambda _: pool, self._rng
        )
        self._now_s = 1_000.0
        self._board.apply(EntryRenewed(ENTRY), self._now_ms)
        self._leader.on_renewal_acked(self._now_s)
        for number in range(vms):
            self._add_vm(deployment, number)
        for number in range(queued):
            job = make_job(number, self._rng)
            self._board.apply(JobSubmitted(job), self._now_ms)
        self._claimed: list[JobClaimed] = []
        self.place_s = 0.0
        self.total_s = 0.0
        self.decisions = 0

    def run(self, decisions: int = DECISION_COUNT) -> None:
        """Make placement decisions; each placed job finishes immediately."""
        for _ in range(WARMUP_TICKS):
            self._step()
        self.place_s = self.total_s = 0.0
        self.decisions = 0
        for _ in range(decisions):
            if self.decisions >= decisions:
                return
            self._step()

    @property
    def _now_ms(self) -> int:
        return int(self._now_s * 1000)

    def _add_vm(self, deployment: str, number: int) -> None:
        vm = f"vm-{number}"
        record = VmAdopted(vm, 1, ENTRY, POOL)
        refusal = self._board.apply(record, self._now_ms)
        self._leader.on_record(record, refusal, self._now_s)
        size = capacity_of(deployment, number)
        report = make_report(vm, size, size, 1)
        self._leader.on_report(report, self._now_s)

    def _step(self) -> None:
        self._now_s += TICK_INTERVAL_S / 100
        started_s = time.process_time()
        actions = self._leader.tick(self._now_s, self._now_ms)
        placed_s = time.process_time()
        claims = []
        for action in actions:
            if not isinstance(action, Append):
                continue
            record = action.record
            refusal = self._board.apply(record, self._now_ms)
            self._leader.on_record(record, refusal, self._now_s)
            if isinstance(record, JobClaimed):
                claims.append(record)
        ended_s = time.process_time()
        if claims:
            self.place_s += placed_s - started_s
            self.total_s += ended_s - started_s
            self.decisions += len(claims)
        self._finish(claims)

    def _finish(self, claims: list[JobClaimed]) -> None:
        self._claimed += claims
        for claim in self._claimed:
            finished = JobFinished(claim.job_id, claim.attempt, claim.term)
            self._board.apply(finished, self._now_ms)
            self._leader.on_record(finished, "", self._now_s)
            view = self._leader.views[claim.vm]
            size = view.capacity
            report = make_report(
                claim.vm, size, size, view.report_sequence + 1
            )
            self._leader.on_report(report, self._now_s)
        self._claimed.clear()
