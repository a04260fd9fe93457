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
    """The log is too slow: too many records wait for it."""


class LogWriter:
    """Collects records and forms the next append.

    One append is in flight at a time and keeps its sequence until the log has
    it, so a repeat after a lost answer is applied once. Urgent records go
    first, but leave a fifth of each append to the others.

    Parameters
    ----------
    writer : str
        Name and incarnation of this process.

    Attributes
    ----------
    linger_s : float
        How long a record waits for others before it is sent.
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
        """Records that wait or are in flight."""
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
            What to append.
        now_s : float
            Monotonic time in seconds.
        urgent : bool
            Whether it goes before those that are not urgent.
        bounded : bool
            Whether it is refused when too many wait; not so for records
            that the logic itself bounds.

        Raises
        ------
        LogQueueFullError
            Too many records wait; the record was not queued.
        """
        if bounded and len(self._queue) >= MAX_QUEUED_RECORDS:
            raise LogQueueFullError("too many records wait for the log")
        if not self._queue and not self._urgent_queue:
            self._oldest_queued_at_s = now_s
        if urgent or _is_urgent(record):
            self._urgent_queue.append(record)
            return
        self._queue.append(record)

    def set_entry_count(self, entries: int) -> None:
        """Wait so long for others that all entries' appends fit the log."""
        self.linger_s = max(MIN_LINGER_S, entries / CELL_APPENDS_PER_S)

    def remove_unsent(self, record: Record) -> bool:
        """Take back a record that was never sent; False if it was."""
        for queue in (self._urgent_queue, self._queue):
            for index, queued in enumerate(queue):
                if queued is record:
                    del queue[index]
                    return True
        return False

    def next_append(self, now_s: float) -> bytes | None:
        """Give the bytes to append now, or None when nothing is due.

        An append whose fate is unknown is given again unchanged.
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
        """Take note that the append with a sequence is in the log."""
        if sequence != self.sequence or self.in_flight_append is None:
            return
        self.in_flight_append = None
        self._in_flight_records = []

    def first_sent_at_s(self, sequence: int) -> float:
        """Give when a batch was first sent; the past if not known."""
        return self._first_sent_at_s.get(sequence, 0.0)

    def pop_batch(self, sequence: int) -> list[Record]:
        """Give the records of a batch that was read back, once."""
        self._first_sent_at_s.pop(sequence, None)
        return self._unread_batches.pop(sequence, [])

    def has_pending_edit(self, edit_id: str) -> bool:
        """Tell whether an edit waits here or its append is not read yet."""
        formed = (r for some in self._unread_batches.values() for r in some)
        return any(
            getattr(record, "edit_id", "") == edit_id
            for record in itertools.chain(
                self._urgent_queue, self._queue, formed
            )
        )

    def pop_batches_up_to(self, sequence: int) -> list[Record]:
        """Give the records of all batches up to one, once."""
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
