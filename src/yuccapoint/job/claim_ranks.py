"""The order in which entries may claim a job."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from yuccapoint.job.job import Job
    from yuccapoint.job.job_board import JobBoard

# Ranks are computed and cached per shard instead of per job.
JOB_SHARDS = 256
REFRESH_INTERVAL_S = 1.0


class ClaimRanks:
    """Ranks the entries that lead VMs of a pool by rendezvous hashing.

    Jobs are hashed into shards by id. An entry that died is no longer
    ranked once its VMs have asked other entries to lead them.

    Parameters
    ----------
    entry : str
        Id of this entry.

    Attributes
    ----------
    version : int
        Incremented when the ranked entries of any pool change.
    """

    def __init__(self, entry: str) -> None:
        self.version = 0
        self._entry = entry
        self._entries: dict[str, frozenset[str]] = {}
        self._led_vm_counts: dict[str, int] = {}
        self._ranks: dict[tuple[str, int], int] = {}
        self._refresh_at_s = 0.0

    def refresh(self, board: JobBoard, now_s: float) -> None:
        """Update the ranked entries, at most once per refresh interval."""
        if now_s < self._refresh_at_s:
            return
        self._refresh_at_s = now_s + REFRESH_INTERVAL_S
        leaders: dict[str, set[str]] = {}
        self._led_vm_counts.clear()
        for leadership in board.vms.values():
            if not leadership.entry:
                continue
            leaders.setdefault(leadership.pool, set()).add(leadership.entry)
            self._led_vm_counts[leadership.pool] = (
                self._led_vm_counts.get(leadership.pool, 0) + 1
            )
        entries = {
            pool: frozenset(name for name in names if board.has_lease(name))
            for pool, names in leaders.items()
        }
        if entries == self._entries:
            return
        self._entries = entries
        self._ranks.clear()
        self.version += 1

    def led_vm_count(self, pool: str) -> int:
        """Return the number of VMs of a pool that have a leader."""
        return self._led_vm_counts.get(pool, 0)

    def rank(self, job: Job) -> int:
        """Return the rank of this entry for a job; 0 claims first."""
        shard = xxhash.xxh32_intdigest(job.job_id.encode()) % JOB_SHARDS
        key = (job.pool, shard)
        rank = self._ranks.get(key)
        if rank is None:
            rank = self._rank(job.pool, shard)
            self._ranks[key] = rank
        return rank

    def _rank(self, pool: str, shard: int) -> int:
        own = _weight(shard, self._entry)
        others = self._entries.get(pool, frozenset()) - {self._entry}
        return sum(_weight(shard, other) > own for other in others)


def _weight(shard: int, entry: str) -> int:
    return xxhash.xxh64_intdigest(f"{shard}|{entry}".encode())
