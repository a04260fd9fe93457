"""Records that are read while an entry leads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.cell_records import Cancellation
from yuccapoint.cell.cell_records import Member
from yuccapoint.cell.submission import Submission

if TYPE_CHECKING:
    from yuccapoint.cell.cell_leader import CellLeader
    from yuccapoint.cell.cell_records import CellRecord
    from yuccapoint.cell.cell_view import CellView


def apply_record(
    leader: CellLeader, view: CellView, record: CellRecord, now_s: float
) -> bool:
    """Apply a record that the view has applied.

    Returns
    -------
    bool
        Whether a decision may follow.
    """
    if isinstance(record, Submission):
        job = view.find(record.job_id)
        if job is None:
            return False
        if job.cancelled:
            leader.explain(
                "job", "cancelled before it was stored", job=record.job_id
            )
        leader.try_add_job(job, now_s)
        return True
    if isinstance(record, Cancellation):
        job = view.find(record.job_id)
        # A caller of another queue may have named the id of this job.
        if job is None or not job.cancelled:
            return False
        leader.on_cancel(record.job_id, now_s)
        return True
    if isinstance(record, Member):
        leader.on_member(record)
    return False
