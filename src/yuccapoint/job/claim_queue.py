"""The queued jobs, sorted by which entry claims them first."""

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
# Keeps urgent jobs that fail repeatedly from delaying the others.
FAILURES_TO_LOSE_URGENCY = 2
MAX_FOREIGN_SCANS = 200
MAX_FOREIGN_MISSES = 8
# Waiting time per rank before an entry claims a job of another entry.
FOREIGN_WAIT_PER_RANK_MS = 2_000
FOREIGN_URGENT_WAIT_PER_RANK_MS = 500

QueueKey = tuple[str, bool]


class ClaimQueue:
    """Mirrors the board's queue, divided into own and foreign jobs.

    An entry claims the jobs for which it ranks first, its own jobs, at
    once. It may claim foreign jobs after a wait proportional to its rank.

    Parameters
    ----------
    entry : str
        Id of this entry.
    board : JobBoard
        The board whose queue is mirrored.
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

    def sync(self, pending_claims: Collection[str], now_s: float) -> None:
        """Apply a bounded number of the board's changes."""
        self.ranks.refresh(self._board, now_s)
        self._detect_missed_changes(len(pending_claims))
        touched = self._touched
        for job_id in list(
            itertools.islice(touched, 0, MAX_SYNCED_JOBS_PER_TICK)
        ):
            del touched[job_id]
            self._classify(job_id, pending_claims)
        if self.ranks.version != self._classified_version:
            self._classified_version = self.ranks.version
            self._to_reclassify = list(reversed(self._waiting))
        for job_id in reversed(
            self._to_reclassify[-MAX_RECLASSIFIED_JOBS_PER_TICK:]
        ):
            self._reclassify(job_id, pending_claims)
        del self._to_reclassify[-MAX_RECLASSIFIED_JOBS_PER_TICK:]

    def requeue(self, job_id: str) -> None:
        """Requeue a job whose claim was refused."""
        self._touched[job_id] = None

    def pools(self) -> list[str]:
        """Return the pools that have queued jobs."""
        waiting = [
            pool for (pool, _), queue in self._own_queues.items() if len(queue)
        ]
        waiting += [
            pool for (pool, _), jobs in self._foreign_jobs.items() if jobs
        ]
        return list(dict.fromkeys(waiting))

    def own_queue(self, pool: str, *, urgent: bool) -> FairJobQueue:
        """Return the queue of a pool's own jobs, created if necessary."""
        queue = self._own_queues.get((pool, urgent))
        if queue is None:
            queue = FairJobQueue()
            self._own_queues[(pool, urgent)] = queue
        return queue

    def place_foreign(
        self,
        key: QueueKey,
        place: Callable[[JobEntry], bool],
        budget: ClaimBudget,
        now_ms: int,
    ) -> None:
        """Place jobs that the entries ranked higher have not claimed."""
        jobs = self._foreign_jobs.get(key)
        if not jobs:
            return
        step_ms = (
            FOREIGN_URGENT_WAIT_PER_RANK_MS
            if key[1]
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

    def _detect_missed_changes(self, pending_claims: int) -> None:
        # Restoring a snapshot changes the board without a notification.
        if self._touched:
            return
        queued = self._board.queued
        if len(self._waiting) > len(queued):
            self._touched.update(dict.fromkeys(self._waiting))
        if len(self._waiting) + pending_claims < len(queued):
            self._touched.update(dict.fromkeys(queued))

    def _reclassify(
        self, job_id: str, pending_claims: Collection[str]
    ) -> None:
        entry = self._waiting.get(job_id)
        if entry is None:
            return
        first = not self.ranks.rank(entry.job)
        if first != (job_id in self._ranked_first):
            self._classify(job_id, pending_claims)

    def _classify(self, job_id: str, pending_claims: Collection[str]) -> None:
        old = self._waiting.pop(job_id, None)
        if old is not None:
            self._remove(old)
        entry = self._board.queued.get(job_id)
        if entry is None or job_id in pending_claims:
            return
        self._waiting[job_id] = entry
        urgent = entry.job.urgent and entry.failures < FAILURES_TO_LOSE_URGENCY
        key = (entry.job.pool, urgent)
        self._queue_keys[job_id] = key
        if not self.ranks.rank(entry.job):
            self._ranked_first.add(job_id)
            self.own_queue(key[0], urgent=key[1]).add(entry)
            return
        self._foreign_jobs.setdefault(key, OrderedDict())[job_id] = entry

    def _remove(self, entry: JobEntry) -> None:
        self._ranked_first.discard(entry.job.job_id)
        key = self._queue_keys.pop(entry.job.job_id)
        own = self._own_queues.get(key)
        if own is not None and own.discard(entry):
            return
        foreign = self._foreign_jobs.get(key)
        if foreign is not None:
            foreign.pop(entry.job.job_id, None)
