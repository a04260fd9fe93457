"""Page of consecutive records read from a partition."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.connection.cell_store import StoredRecord


class StoredPage:
    """Consecutive records of a partition.

    Attributes
    ----------
    records : list of StoredRecord
        The records; empty if there were none.
    next_offset : int
        Offset to continue from.
    end_offset : int
        Offset after the newest record at the time of the read.
    """

    __slots__ = ("end_offset", "next_offset", "records")

    def __init__(
        self,
        records: list[StoredRecord],
        next_offset: int,
        end_offset: int,
    ) -> None:
        self.records = records
        self.next_offset = next_offset
        self.end_offset = end_offset

    @property
    def behind(self) -> int:
        """How many records the store had beyond this page."""
        return max(0, self.end_offset - self.next_offset)
