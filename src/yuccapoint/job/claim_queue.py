"""The queued jobs as one entry sees them: its own first."""

from __future__ import annotations

from collections import OrderedDict
import itertools
from typing import TYPE_CHECKING

from yuccapoint.job.claim_ranks import ClaimRanks
from yuccapoint.job.fair_job_queue import FairJobQueue

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from yuccapoint.job.claim_budget import ClaimBudget
    from yuccapoint.job.job_board import JobBoard
    from yuccapoint.job.job_entry import JobEntry

MAX_SYNCED_JOBS_PER_TICK = 5_000
MAX_RECLASSIFIED_JOBS_PER_TICK = 2_000
FAILURES_TO_LOSE_URGENCY = 2
MAX_FOREIGN_SCANS = 200
MAX_FOREIGN_MISSES = 8
FOREIGN_WAIT_PER_RANK_MS = 2_000
FOREIGN_URGENT_WAIT_PER_RANK_MS = 500

QueueKey = tuple[str, bool]


class ClaimQueue:
    """Follows the board's queue and sorts it by who claims first.

    The entry that ranks first for a job claims it; the others may after
    a wait that grows with their rank.

    Parameters
    ----------
    entry : str
        This entry.
    board : JobBoard
        The state whose queue is followed.
    """

    def __init__(self, entry: str, board: JobBoard) -> None:
        self.ranks = ClaimRanks(entry)
        self._board = board
        self._own_queues: dict[QueueKey, FairJobQueue] = {}
        self._foreign_jobs: dict[QueueKey, OrderedDict[str, JobEntry]] = {}
        self._waiting: dict[str, JobEntry] = {}
        self._queue_keys: dict[str, QueueKey] = {}
        self._ranked_first: set[str] = set()
        self._to_reclassify: list[str] = []
        self._classified_version = 0
        self._touched: dict[str, None] = dict.fromkeys(board.queued)
        board.touched = self._touched

    def sync(self, claiming: Collection[str], now_s: float) -> None:
        """Take over what changed on the board, a bounded part at a time."""
        self.ranks.refresh(self._board, now_s)
        self._detect_missed_changes(len(claiming))
        touched = self._touched
        for job_id in list(
            itertools.islice(touched, 0, MAX_SYNCED_JOBS_PER_TICK)
        ):
            del touched[job_id]
            self._classify(job_id, claiming)
        if self.ranks.version != self._classified_version:
            self._classified_version = self.ranks.version
            self._to_reclassify = list(reversed(self._waiting))
        for job_id in reversed(
            self._to_reclassify[-MAX_RECLASSIFIED_JOBS_PER_TICK:]
        ):
            self._reclassify(job_id, claiming)
        del self._to_reclassify[-MAX_RECLASSIFIED_JOBS_PER_TICK:]

    def requeue(self, job_id: str) -> None:
        """Let a job wait again whose claim came to nothing."""
        self._touched[job_id] = None

    def pools(self) -> list[str]:
        """Give the pools that jobs wait for."""
        waiting = [
            pool for (pool, _), lane in self._own_queues.items() if len(lane)
        ]
        waiting += [
            pool for (pool, _), jobs in self._foreign_jobs.items() if jobs
        ]
        return list(dict.fromkeys(waiting))

    def own_queue(self, pool: str, *, urgent: bool) -> FairJobQueue:
        """Give the jobs that this entry claims first."""
        lane = self._own_queues.get((pool, urgent))
        if lane is None:
            lane = FairJobQueue()
            self._own_queues[(pool, urgent)] = lane
        return lane

    def place_foreign(
        self,
        lane: QueueKey,
        place: Callable[[JobEntry], bool],
        budget: ClaimBudget,
        now_ms: int,
    ) -> None:
        """Offer jobs that other entries have left waiting."""
        jobs = self._foreign_jobs.get(lane)
        if not jobs:
            return
        step_ms = (
            FOREIGN_URGENT_WAIT_PER_RANK_MS
            if lane[1]
            else FOREIGN_WAIT_PER_RANK_MS
        )
        misses = 0
        for job_id in list(itertools.islice(jobs, 0, MAX_FOREIGN_SCANS)):
            if not budget.remaining or misses >= MAX_FOREIGN_MISSES:
                return
            entry = jobs[job_id]
            rank = self.ranks.rank(entry.job)
            if now_ms < entry.queued_at_ms + rank * step_ms:
                continue
            budget.count_scan()
            if place(entry):
                budget.count_claim()
                del jobs[job_id]
                continue
            misses += 1
            jobs.move_to_end(job_id)

    def _detect_missed_changes(self, claiming: int) -> None:
        # A restored snapshot changes the board without telling.
        if self._touched:
            return
        queued = self._board.queued
        if len(self._waiting) > len(queued):
            self._touched.update(dict.fromkeys(self._waiting))
        if len(self._waiting) + claiming < len(queued):
            self._touched.update(dict.fromkeys(queued))

    def _reclassify(self, job_id: str, claiming: Collection[str]) -> None:
        entry = self._waiting.get(job_id)
        if entry is None:
            return
        first = not self.ranks.rank(entry.job)
        if first != (job_id in self._ranked_first):
            self._classify(job_id, claiming)

    def _classify(self, job_id: str, claiming: Collection[str]) -> None:
        old = self._waiting.pop(job_id, None)
        if old is not None:
            self._remove(old)
        entry = self._board.queued.get(job_id)
        if entry is None or job_id in claiming:
            return
        self._waiting[job_id] = entry
        # A job that keeps failing may not hold up those that don't.
        urgent = entry.job.urgent and entry.failures < FAILURES_TO_LOSE_URGENCY
        lane = (entry.job.pool, urgent)
        self._queue_keys[job_id] = lane
        if not self.ranks.rank(entry.job):
            self._ranked_first.add(job_id)
            self.own_queue(lane[0], urgent=lane[1]).add(entry)
            return
        self._foreign_jobs.setdefault(lane, OrderedDict())[job_id] = entry

    def _remove(self, entry: JobEntry) -> None:
        self._ranked_first.discard(entry.job.job_id)
        lane = self._queue_keys.pop(entry.job.job_id)
        own = self._own_queues.get(lane)
        if own is not None and own.discard(entry):
            return
        foreign = self._foreign_jobs.get(lane)
        if foreign is not None:
            foreign.pop(entry.job.job_id, None)
