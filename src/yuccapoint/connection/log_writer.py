"""Group commit: batches records into appends, one append at a time."""

from __future__ import annotations

import collections
import itertools
from typing import TYPE_CHECKING

import msgspec

from yuccapoint.exceptions import YuccapointError
from yuccapoint.job.records import AppendBatch
from yuccapoint.job.records import EntryRenewed
from yuccapoint.job.records import JobSubmitted
from yuccapoint.job.records import KeyClaimed
from yuccapoint.job.records import VmAdopted
from yuccapoint.job.records import VmLost

if TYPE_CHECKING:
    from yuccapoint.job.records import Record

MAX_BATCH_RECORDS = 500
MAX_BATCH_BYTES = 256 * 1024
MAX_URGENT_SHARE = 0.8
MAX_QUEUED_RECORDS = 50_000
MIN_LINGER_S = 0.01
CELL_APPENDS_PER_S = 300.0


_URGENT_RECORDS = (EntryRenewed, KeyClaimed, VmAdopted, VmLost)


class LogQueueFullError(YuccapointError):
    """Too many records are queued because the log is slow."""


class LogWriter:
    """Queues records and builds the next append from them.

    One append is in flight at a time and keeps its sequence number until it
    is in the log, so a retry after a lost response is applied once. Urgent
    records go first, but leave a fifth of each append to the others.

    Parameters
    ----------
    writer : str
        Name and incarnation of this process.

    Attributes
    ----------
    linger_s : float
        How long a record waits for others to share its append.
    """

    def __init__(self, writer: str) -> None:
        self.writer = writer
        self.sequence = 0
        self.linger_s = MIN_LINGER_S
        self.in_flight_append: bytes | None = None
        self._queue: collections.deque[Record] = collections.deque()
        self._urgent_queue: collections.deque[Record] = collections.deque()
        self._oldest_queued_at_s = 0.0
        self._in_flight_records: list[Record] = []
        self._first_sent_at_s: dict[int, float] = {}
        self._unread_batches: dict[int, list[Record]] = {}
        self._encoder = msgspec.msgpack.Encoder()

    @property
    def pending_records(self) -> int:
        """Number of records that are queued or in flight."""
        waiting = len(self._queue) + len(self._urgent_queue)
        return waiting + len(self._in_flight_records)

    def add(
        self,
        record: Record,
        now_s: float,
        *,
        urgent: bool = False,
        bounded: bool = True,
    ) -> None:
        """Queue a record.

        Parameters
        ----------
        record : Record
            Record to append.
        now_s : float
            Monotonic time in seconds.
        urgent : bool
            Whether it goes ahead of records that are not urgent.
        bounded : bool
            Whether the queue limit applies; False for records whose number
            the caller bounds itself.

        Raises
        ------
        LogQueueFullError
            Too many records are queued; this one was not added.
        """
        if bounded and len(self._queue) >= MAX_QUEUED_RECORDS:
            raise LogQueueFullError("log queue is full; record rejected")
        if not self._queue and not self._urgent_queue:
            self._oldest_queued_at_s = now_s
        if urgent or _is_urgent(record):
            self._urgent_queue.append(record)
            return
        self._queue.append(record)

    def set_entry_count(self, entries: int) -> None:
        """Scale the linger time to keep all entries within the append rate."""
        self.linger_s = max(MIN_LINGER_S, entries / CELL_APPENDS_PER_S)

    def remove_unsent(self, record: Record) -> bool:
        """Remove a queued record; return False if it was already sent."""
        for queue in (self._urgent_queue, self._queue):
            for index, queued in enumerate(queue):
                if queued is record:
                    del queue[index]
                    return True
        return False

    def next_append(self, now_s: float) -> bytes | None:
        """Return the bytes to append now, or None when nothing is due.

        An append whose outcome is unknown is returned again unchanged.
        """
        if self.in_flight_append is not None:
            return self.in_flight_append
        waiting = len(self._queue) + len(self._urgent_queue)
        if not waiting:
            return None
        full = waiting >= MAX_BATCH_RECORDS
        if not full and now_s < self._oldest_queued_at_s + self.linger_s:
            return None
        self._build_append()
        self._first_sent_at_s[self.sequence] = now_s
        return self.in_flight_append

    def on_appended(self, sequence: int) -> None:
        """Record that the append with a sequence number is in the log."""
        if sequence != self.sequence or self.in_flight_append is None:
            return
        self.in_flight_append = None
        self._in_flight_records = []

    def first_sent_at_s(self, sequence: int) -> float:
        """Return when a batch was first sent; 0 if unknown."""
        return self._first_sent_at_s.get(sequence, 0.0)

    def pop_batch(self, sequence: int) -> list[Record]:
        """Remove and return the records of a batch that was read back."""
        self._first_sent_at_s.pop(sequence, None)
        return self._unread_batches.pop(sequence, [])

    def has_pending_edit(self, edit_id: str) -> bool:
        """Return whether an edit is queued or its append not read back."""
        formed = (r for some in self._unread_batches.values() for r in some)
        return any(
            getattr(record, "edit_id", "") == edit_id
            for record in itertools.chain(
                self._urgent_queue, self._queue, formed
            )
        )

    def pop_batches_up_to(self, sequence: int) -> list[Record]:
        """Remove and return the records of all batches up to a sequence."""
        found: list[Record] = []
        for number in sorted(self._unread_batches):
            if number <= sequence:
                found.extend(self.pop_batch(number))
        return found

    def _build_append(self) -> None:
        self.sequence += 1
        limit = MAX_BATCH_RECORDS
        if self._queue:
            limit = int(MAX_BATCH_RECORDS * MAX_URGENT_SHARE)
        used_bytes = self._move_to_append(self._urgent_queue, limit, 0)
        self._move_to_append(self._queue, MAX_BATCH_RECORDS, used_bytes)
        batch = AppendBatch(
            self.writer, self.sequence, self._in_flight_records
        )
        self.in_flight_append = self._encoder.encode(batch)
        self._unread_batches[self.sequence] = self._in_flight_records

    def _move_to_append(
        self, queue: collections.deque[Record], limit: int, used_bytes: int
    ) -> int:
        while queue and len(self._in_flight_records) < limit:
            used_bytes += len(self._encoder.encode(queue[0]))
            if used_bytes > MAX_BATCH_BYTES and self._in_flight_records:
                return used_bytes
            self._in_flight_records.append(queue.popleft())
        return used_bytes


def _is_urgent(record: Record) -> bool:
    if isinstance(record, JobSubmitted):
        return record.job.urgent
    return isinstance(record, _URGENT_RECORDS)
