"""Cancellations whose job is not stored."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.cell.cell_records import Cancellation
    from yuccapoint.cell.submission import Submission


class EarlyCancellations:
    """Stored cancellations that came before their job.

    The append of a job may be executed seconds after its caller was answered,
    and a copy of the request may arrive later still.
    """

    __slots__ = ("_offsets", "_records")

    def __init__(self) -> None:
        # By job and key: callers of several queues may name one id.
        self._records: dict[str, dict[str, Cancellation]] = {}
        self._offsets: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._offsets)

    def __contains__(self, key: str) -> bool:
        return key in self._offsets

    @property
    def versions(self) -> list[tuple[str, int]]:
        """Keys and offsets of the records."""
        return list(self._offsets.items())

    def add(
        self, key: str, job_id: str, record: Cancellation, offset: int
    ) -> None:
        """Keep a record, in place of the former one of its key."""
        self._records.setdefault(job_id, {})[key] = record
        self._offsets[key] = offset

    def drop(self, key: str, job_id: str) -> None:
        """Drop a record, if it is known."""
        if self._offsets.pop(key, None) is None:
            return
        records = self._records[job_id]
        del records[key]
        if not records:
            del self._records[job_id]

    def take(self, submission: Submission) -> list[tuple[str, int]]:
        """Remove the records that cancel a job.

        Returns
        -------
        list of tuple
            Keys and offsets of these records.
        """
        found = []
        records = self._records.get(submission.job_id, {})
        for key, record in list(records.items()):
            if not record.cancels(submission):
                continue
            found.append((key, self._offsets[key]))
            self.drop(key, submission.job_id)
        return found
