"""Page of the newest record of each key."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.connection.cell_store import StoredRecord


class NewestPage:
    """The newest records of consecutive keys.

    Attributes
    ----------
    records : list of StoredRecord
        The records in the order of their keys.
    end_offset : int
        Offset after the newest record at the time of the read.
    has_more : bool
        Whether there are further keys.
    """

    __slots__ = ("end_offset", "has_more", "records")

    def __init__(
        self, records: list[StoredRecord], end_offset: int, *, has_more: bool
    ) -> None:
        self.records = records
        self.end_offset = end_offset
        self.has_more = has_more
