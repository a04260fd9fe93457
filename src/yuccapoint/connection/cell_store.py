"""Interface of the store that keeps a cell's records."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import msgspec

from yuccapoint.exceptions import YuccapointError
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    from yuccapoint.connection.newest_page import NewestPage
    from yuccapoint.connection.stored_page import StoredPage


class StoreRefusedError(YuccapointError):
    """The store did nothing; the call may be retried."""


class StoreResponseLostError(YuccapointError):
    """The store may have executed the call, or may still execute it."""

    verdict = Verdict.MAY_HAVE_RUN


class StoreFencedError(YuccapointError):
    """A newer writer took over the partition; nothing was written."""


class StoreSequenceError(YuccapointError):
    """The store expects another sequence number from this writer.

    Attributes
    ----------
    expected : int
        The sequence number that the store would accept.
    """

    def __init__(self, expected: int) -> None:
        super().__init__(f"store expects sequence number {expected}")
        self.expected = expected


class StoreRecordsExpiredError(YuccapointError):
    """The requested offset is older than the store's retention."""


class StoredRecord(msgspec.Struct, frozen=True):
    """A record; ``value`` is None when its key was deleted."""

    offset: int
    key: str
    value: bytes | None


class CellStore(Protocol):
    """An ordered, compacted log: it keeps the newest record of each key."""

    async def append(
        self,
        records: list[tuple[str, bytes | None]],
        *,
        writer: str = "",
        epoch: int = 0,
        sequence: int = 0,
        timeout_s: float = 0.0,
    ) -> int:
        """Append records atomically and return the first one's offset.

        Parameters
        ----------
        records : list of tuple
            Keys and values; a value of None deletes the key.
        writer : str
            Name under which appends are fenced; empty for no fencing.
        epoch, sequence : int
            The writer's epoch and the sequence number of this append in it.
            A retry with the same sequence number is idempotent.
        timeout_s : float
            Timeout in seconds; 0 for the store's default.

        Raises
        ------
        StoreRefusedError
            Nothing was written.
        StoreFencedError
            A higher epoch of the writer was seen.
        StoreSequenceError
            The sequence number is not the next one.
        StoreResponseLostError
            The records may have been written.
        """

    async def read(self, from_offset: int, wait_ms: int) -> StoredPage:
        """Read from an offset on, waiting up to ``wait_ms`` for records.

        Raises
        ------
        StoreRecordsExpiredError
            The offset is older than the store's retention.
        StoreRefusedError, StoreResponseLostError
            The store is unavailable or did not respond.
        """

    async def read_newest(self, after: str = "") -> NewestPage:
        """Read a page of the newest record of each key.

        Pages are no snapshot: records that are appended meanwhile are to be
        read from the end offset of the first page.

        Parameters
        ----------
        after : str
            Last key of the previous page; empty for the first page.

        Raises
        ------
        StoreRefusedError, StoreResponseLostError
            The store is unavailable or did not respond.
        """
