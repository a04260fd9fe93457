"""Progress of reading the newest record of each key."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.connection.newest_page import NewestPage


class StoreLoad:
    """Pages read so far; a failed read is repeated from the last one.

    Parameters
    ----------
    began_at_s : float
        Steady time in seconds.

    Attributes
    ----------
    after : str
        Last key that was read.
    keys : set of str
        All keys that were read.
    began_at_offset : int or None
        End offset at the first page; records from it on may be missing from
        the pages.
    complete : bool
        Whether the last page was read.
    """

    __slots__ = (
        "after",
        "began_at_offset",
        "began_at_s",
        "complete",
        "keys",
    )

    def __init__(self, began_at_s: float) -> None:
        self.began_at_s = began_at_s
        self.after = ""
        self.keys: set[str] = set()
        self.began_at_offset: int | None = None
        self.complete = False

    def add(self, page: NewestPage) -> None:
        """Add the next page."""
        if self.began_at_offset is None:
            self.began_at_offset = page.end_offset
        self.keys.update(record.key for record in page.records)
        if page.records:
            self.after = page.records[-1].key
        self.complete = not page.has_more
