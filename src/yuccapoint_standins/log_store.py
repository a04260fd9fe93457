"""The records of the stand-in log, without a network."""

from __future__ import annotations

from yuccapoint.connection.log_port import LogRecord

DEFAULT_MAX_RECORDS = 100_000
PAGE_RECORDS = 500
PAGE_BYTES = 4 * 1024 * 1024


class LogStore:
    """One stream, whose offsets rise by one and whose old records expire.

    Parameters
    ----------
    max_records : int
        Number of records that are kept.
    """

    def __init__(self, max_records: int = DEFAULT_MAX_RECORDS) -> None:
        self.max_records = max_records
        self.earliest_offset = 0
        self._records: list[LogRecord] = []

    @property
    def next_offset(self) -> int:
        """Offset of the next append."""
        return self.earliest_offset + len(self._records)

    def append(self, data: bytes, stamp_ms: int) -> int:
        """Append a record and return its offset."""
        offset = self.next_offset
        if self._records:
            stamp_ms = max(stamp_ms, self._records[-1].stamp_ms)
        self._records.append(LogRecord(offset, stamp_ms, data))
        excess = len(self._records) - self.max_records
        if excess > 0:
            del self._records[:excess]
            self.earliest_offset += excess
        return offset

    def read(self, from_offset: int) -> list[LogRecord] | None:
        """Return the records from an offset on; None if it expired."""
        if from_offset < self.earliest_offset:
            return None
        start = from_offset - self.earliest_offset
        found: list[LogRecord] = []
        size_bytes = 0
        for record in self._records[start : start + PAGE_RECORDS]:
            size_bytes += len(record.data)
            if size_bytes > PAGE_BYTES and found:
                break
            found.append(record)
        return found
