"""Upkeep of the store: interference estimates and expired records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell import cell_records

if TYPE_CHECKING:
    from yuccapoint.cell.cell_leader import CellLeader
    from yuccapoint.cell.cell_view import CellView

# The state of an ended job is kept for this time, which is 1.5 times what
# callers are promised.
ENDED_JOB_RETENTION_S = 180.0
# A cancellation without a job is kept for this time, which is five times as
# long as the store executes unanswered appends late (12 s).
EARLY_CANCELLATION_RETENTION_S = 60.0
# Limit of the keys dropped with one append.
MAX_DROPPED_KEYS = 500

Records = list[tuple[str, bytes | None]]


class StoreMaintenance:
    """Writes interference estimates and drops expired records.

    Parameters
    ----------
    leader : CellLeader
        Leader whose jobs are kept.
    """

    __slots__ = ("_ended_at_s", "_leader", "_unmatched_since_s")

    def __init__(self, leader: CellLeader) -> None:
        self._leader = leader
        self._ended_at_s: dict[str, float] = {}
        self._unmatched_since_s: dict[tuple[str, int], float] = {}

    def expire_records(self, view: CellView, now_s: float) -> Records:
        """Return records that drop all keys whose retention has passed."""
        return [
            *self.expire_ended_jobs(view, now_s),
            *self.expire_early_cancellations(view, now_s),
            *_drop_unused_queues(view),
        ]

    def expire_ended_jobs(self, view: CellView, now_s: float) -> Records:
        """Return records that drop the jobs whose retention has passed."""
        records: Records = []
        for job_id, job in view.jobs.items():
            if not job.is_finished or job_id in self._leader.jobs:
                self._ended_at_s.pop(job_id, None)
                continue
            ended_at_s = self._ended_at_s.setdefault(job_id, now_s)
            if now_s - ended_at_s < ENDED_JOB_RETENTION_S:
                continue
            del self._ended_at_s[job_id]
            for number in job.occurrences:
                key = cell_records.progress_key(job_id, number)
                records.append((key, None))
            own_key = cell_records.CANCELLATION + job_id
            for key in sorted({own_key, *job.cancellation_keys}):
                records.append((key, None))
            records.append((cell_records.SUBMISSION + job_id, None))
            if len(records) >= MAX_DROPPED_KEYS:
                break
        return records

    def expire_early_cancellations(
        self, view: CellView, now_s: float
    ) -> Records:
        """Return records that drop cancellations whose job never came."""
        since_s = self._unmatched_since_s
        # A repeated cancellation has a later offset.
        self._unmatched_since_s = {
            version: since_s.get(version, now_s)
            for version in view.early_cancellations.versions
        }
        expired: Records = []
        for (key, _), known_at_s in self._unmatched_since_s.items():
            if now_s - known_at_s < EARLY_CANCELLATION_RETENTION_S:
                continue
            expired.append((key, None))
            if len(expired) == MAX_DROPPED_KEYS:
                break
        return expired

    def load_pairs(self, view: CellView) -> None:
        """Start from the stored estimates, but for damaged ones."""
        pairs = () if view.pairs is None else view.pairs.pairs
        for pair in pairs:
            try:
                self._leader.interference.load_estimates((pair,))
            except (ArithmeticError, ValueError) as error:
                self._leader.explain(
                    "interference",
                    "stored estimate skipped",
                    service=pair.service,
                    job_class=pair.job_class,
                    error=repr(error),
                )

    def encode_pairs(self) -> Records:
        """Return the record of all interference estimates."""
        pairs = self._leader.interference.all_estimates()
        if not pairs:
            return []
        record = cell_records.StoredPairs(pairs)
        return [(cell_records.PAIRS, cell_records.encode(record))]


def _drop_unused_queues(view: CellView) -> Records:
    """Return records that drop the queues of which no job is left."""
    if not view.queues.stored:
        return []
    by_queue = {}
    for job in view.jobs.values():
        submission = job.submission
        by_queue[(submission.address, submission.queue.route)] = submission
    used = {cell_records.queue_key(job) for job in by_queue.values()}
    return [(key, None) for key in view.queues.stored if key not in used]
