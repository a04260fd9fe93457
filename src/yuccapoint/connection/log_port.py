"""Interface of the platform's append-only log."""

from __future__ import annotations

from typing import Protocol

import msgspec

from yuccapoint.exceptions import YuccapointError
from yuccapoint.request.verdict import Verdict


class LogUnavailableError(YuccapointError):
    """The log refused an append or a read; nothing was written."""


class LogResponseLostError(YuccapointError):
    """An append got no response; it may be in the log."""

    verdict = Verdict.MAY_HAVE_RUN


class LogRecordsExpiredError(YuccapointError):
    """The requested offset is older than the log's retention."""

    def __init__(self, earliest_offset: int) -> None:
        super().__init__(
            f"offset is expired; the log begins at offset {earliest_offset}"
        )
        self.earliest_offset = earliest_offset


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """One append, as a read returns it."""

    offset: int
    stamp_ms: int
    data: bytes


class LogPage(msgspec.Struct, frozen=True):
    """Consecutive appends of a stream."""

    records: list[LogRecord]
    next_offset: int


class LogPort(Protocol):
    """The operations that yuccapoint needs from a log service."""

    async def append(self, data: bytes) -> int:
        """Append bytes and return their offset.

        Raises
        ------
        LogUnavailableError
            Nothing was written.
        LogResponseLostError
            The bytes may have been written.
        """

    async def read(self, from_offset: int) -> LogPage:
        """Read from an offset on, waiting a limited time for records.

        Raises
        ------
        LogRecordsExpiredError
            The log no longer holds the offset.
        LogUnavailableError
            The log is temporarily unavailable.
        """
