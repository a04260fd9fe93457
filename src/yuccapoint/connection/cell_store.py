"""The narrow interface to the store that keeps a cell's records."""

from __future__ import annotations

from typing import Protocol

import msgspec

from yuccapoint.exceptions import YuccapointError
from yuccapoint.request.verdict import Verdict


class StoreRefusedError(YuccapointError):
    """The store did nothing; the call may be repeated."""


class StoreResponseLostError(YuccapointError):
    """The store may have done what it was asked for, or do so yet."""

    verdict = Verdict.MAY_HAVE_RUN


class StoreFencedError(YuccapointError):
    """A newer writer took the partition over; nothing was written."""


class StoreSequenceError(YuccapointError):
    """The store expects another number of this writer.

    Attributes
    ----------
    expected : int
        The number that the store would take.
    """

    def __init__(self, expected: int) -> None:
        super().__init__(f"the store expects append {expected}")
        self.expected = expected


class StoreRecordsExpiredError(YuccapointError):
    """The store no longer holds the offset that was asked for."""


class StoredRecord(msgspec.Struct, frozen=True):
    """A record; ``value`` is None when its key was dropped."""

    offset: int
    key: str
    value: bytes | None


class CellStore(Protocol):
    """An ordered log of records that keeps the newest one of each key."""

    async def append(
        self,
        records: list[tuple[str, bytes | None]],
        *,
        writer: str = "",
        epoch: int = 0,
        sequence: int = 0,
        timeout_s: float = 0.0,
    ) -> int:
        """Append records, all or none, and give the first one's offset.

        Parameters
        ----------
        records : list of tuple
            Keys and values; a value of None drops the key.
        writer : str
            Name under which appends are fenced; empty for no fencing.
        epoch, sequence : int
            The writer's epoch and the number of this append in it. The
            same number again repeats the append harmlessly.
        timeout_s : float
            Longest wait in seconds; 0 for the store's usual one.

        Raises
        ------
        StoreRefusedError
            Nothing was written.
        StoreFencedError
            A higher epoch of the writer was seen.
        StoreSequenceError
            The number is not the next one.
        StoreResponseLostError
            The records may be written.
        """

    async def read(
        self, from_offset: int, wait_ms: int
    ) -> tuple[list[StoredRecord], int]:
        """Read on from an offset, waiting a while for news.

        Returns
        -------
        tuple
            The records, and the offset to read on from.

        Raises
        ------
        StoreRecordsExpiredError
            The offset is older than what is kept.
        StoreRefusedError, StoreResponseLostError
            The store can't be read now.
        """

    async def read_newest(self) -> tuple[list[StoredRecord], int]:
        """Read the newest record of each key.

        Returns
        -------
        tuple
            The records, and the offset from which to read what changed
            while they were read.
        """
