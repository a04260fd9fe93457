"""The queued jobs as one entry sees them: its own first."""

from __future__ import annotations

from collections import OrderedDict
import itertools
from typing import TYPE_CHECKING

from yuccapoint.job.claim_ranks import ClaimRanks
from yuccapoint.job.fair_lane import FairLane

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from yuccapoint.job.claim_budget import ClaimBudget
    from yuccapoint.job.job_board import JobBoard
    from yuccapoint.job.job_entry import JobEntry

SYNCED_PER_TICK = 5_000
RESORTED_PER_TICK = 2_000
URGENT_FAILURES = 2
FOREIGN_LOOKS = 200
FOREIGN_MISSES = 8
FOREIGN_WAIT_MS = 2_000
FOREIGN_URGENT_WAIT_MS = 500

Lane = tuple[str, bool]


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
        self._own: dict[Lane, FairLane] = {}
        self._foreign: dict[Lane, OrderedDict[str, JobEntry]] = {}
        self._waiting: dict[str, JobEntry] = {}
        self._lanes: dict[str, Lane] = {}
        self._mine: set[str] = set()
        self._resort: list[str] = []
        self._sorted_at_version = 0
        self._touched: dict[str, None] = dict.fromkeys(board.queued)
        board.touched = self._touched

    def sync(self, claiming: Collection[str], now_s: float) -> None:
        """Take over what changed on the board, a bounded part at a time."""
        self.ranks.refresh(self._board, now_s)
        self._find_missed(len(claiming))
        touched = self._touched
        for job_id in list(itertools.islice(touched, 0, SYNCED_PER_TICK)):
            del touched[job_id]
            self._sort(job_id, claiming)
        if self.ranks.version != self._sorted_at_version:
            self._sorted_at_version = self.ranks.version
            self._resort = list(reversed(self._waiting))
        for job_id in reversed(self._resort[-RESORTED_PER_TICK:]):
            self._move(job_id, claiming)
        del self._resort[-RESORTED_PER_TICK:]

    def put_back(self, job_id: str) -> None:
        """Let a job wait again whose claim came to nothing."""
        self._touched[job_id] = None

    def pools(self) -> list[str]:
        """Give the pools that jobs wait for."""
        waiting = [pool for (pool, _), lane in self._own.items() if len(lane)]
        waiting += [pool for (pool, _), jobs in self._foreign.items() if jobs]
        return list(dict.fromkeys(waiting))

    def own(self, pool: str, *, urgent: bool) -> FairLane:
        """Give the jobs that this entry claims first."""
        lane = self._own.get((pool, urgent))
        if lane is None:
            lane = FairLane()
            self._own[(pool, urgent)] = lane
        return lane

    def offer_foreign(
        self,
        lane: Lane,
        place: Callable[[JobEntry], bool],
        budget: ClaimBudget,
        now_ms: int,
    ) -> None:
        """Offer jobs that other entries have left waiting."""
        jobs = self._foreign.get(lane)
        if not jobs:
            return
        step_ms = FOREIGN_URGENT_WAIT_MS if lane[1] else FOREIGN_WAIT_MS
        misses = 0
        for job_id in list(itertools.islice(jobs, 0, FOREIGN_LOOKS)):
            if not budget.left or misses >= FOREIGN_MISSES:
                return
            entry = jobs[job_id]
            rank = self.ranks.rank(entry.job)
            if now_ms < entry.queued_at_ms + rank * step_ms:
                continue
            budget.looked()
            if place(entry):
                budget.claimed()
                del jobs[job_id]
                continue
            misses += 1
            jobs.move_to_end(job_id)

    def _find_missed(self, claiming: int) -> None:
        # A restored snapshot changes the board without telling.
        if self._touched:
            return
        queued = self._board.queued
        if len(self._waiting) > len(queued):
            self._touched.update(dict.fromkeys(self._waiting))
        if len(self._waiting) + claiming < len(queued):
            self._touched.update(dict.fromkeys(queued))

    def _move(self, job_id: str, claiming: Collection[str]) -> None:
        entry = self._waiting.get(job_id)
        if entry is None:
            return
        first = not self.ranks.rank(entry.job)
        if first != (job_id in self._mine):
            self._sort(job_id, claiming)

    def _sort(self, job_id: str, claiming: Collection[str]) -> None:
        old = self._waiting.pop(job_id, None)
        if old is not None:
            self._drop(old)
        entry = self._board.queued.get(job_id)
        if entry is None or job_id in claiming:
            return
        self._waiting[job_id] = entry
        # A job that keeps failing may not hold up those that don't.
        urgent = entry.job.urgent and entry.failures < URGENT_FAILURES
        lane = (entry.job.pool, urgent)
        self._lanes[job_id] = lane
        if not self.ranks.rank(entry.job):
            self._mine.add(job_id)
            self.own(lane[0], urgent=lane[1]).add(entry)
            return
        self._foreign.setdefault(lane, OrderedDict())[job_id] = entry

    def _drop(self, entry: JobEntry) -> None:
        self._mine.discard(entry.job.job_id)
        lane = self._lanes.pop(entry.job.job_id)
        own = self._own.get(lane)
        if own is not None and own.discard(entry):
            return
        foreign = self._foreign.get(lane)
        if foreign is not None:
            foreign.pop(entry.job.job_id, None)
