"""Records that a leader writes at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.cell.cell_leader import CellLeader
    from yuccapoint.cell.cell_view import CellView
    from yuccapoint.cell.commit_batch import CommitBatch
    from yuccapoint.process.leadership_renewals import LeadershipRenewals

# Interval at which measured interference between images is stored, in
# seconds; a new leader learns the missing part in about the same time.
WRITE_PAIRS_EVERY_S = 5.0


class LeaderBatches:
    """Collects a leader's decisions, its renewals and what is due regularly.

    Parameters
    ----------
    view : CellView
        What the entry has read.
    renewals : LeadershipRenewals
        Builds the renewals.
    """

    __slots__ = ("_pairs_written_at_s", "_renewals", "_view")

    def __init__(self, view: CellView, renewals: LeadershipRenewals) -> None:
        self._view = view
        self._renewals = renewals
        self._pairs_written_at_s = 0.0

    def collect(self, leader: CellLeader, now_s: float) -> CommitBatch:
        """Return what is to be written at a steady time in seconds."""
        batch = leader.collect_batch()
        self._renewals.add_due(batch, leader, now_s)
        if now_s - self._pairs_written_at_s > WRITE_PAIRS_EVERY_S:
            self._pairs_written_at_s = now_s
            batch.records.extend(leader.maintenance.encode_pairs())
            batch.records.extend(
                leader.maintenance.expire_records(self._view, now_s)
            )
        return batch
