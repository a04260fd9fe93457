"""Schedule of snapshots and choice of the writing entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from yuccapoint.job.records import SnapshotChunk

MAX_START_DELAY_S = 5.0
WRITER_SILENCE_S = 30.0


class SnapshotSchedule:
    """Any entry may write; the entry whose chunk is first in the log does.

    When a snapshot is due, an entry waits for a random delay, and longer
    while chunks of another entry arrive. If two begin at once, the second
    aborts and leaves an incomplete snapshot, which readers skip.

    Parameters
    ----------
    every_records : int
        Appends after which a snapshot is due.
    every_s : float
        Time after which a snapshot is due, in seconds.
    rng : random.Random
        Source of the random delay.
    """

    def __init__(
        self, every_records: int, every_s: float, rng: random.Random
    ) -> None:
        self.newest_offset = 0
        self._every_records = every_records
        self._every_s = every_s
        self._rng = rng
        self._newest_at_s: float | None = None
        self._chunk_at_s = -WRITER_SILENCE_S
        self._begin_at_s: float | None = None
        self._seen_chunks: dict[str, set[int]] = {}
        self._writer_id = ""

    def on_chunk(self, chunk: SnapshotChunk, now_s: float) -> None:
        """Process a chunk that was read from the log."""
        if now_s >= self._chunk_at_s + WRITER_SILENCE_S:
            self._writer_id = ""
        self._writer_id = self._writer_id or chunk.snapshot_id
        self._chunk_at_s = now_s
        seen = self._seen_chunks.setdefault(chunk.snapshot_id, set())
        seen.add(chunk.index)
        if len(seen) < chunk.total:
            return
        self._seen_chunks.clear()
        self.on_complete(chunk.next_offset, now_s)

    def is_writer(self, snapshot_id: str) -> bool | None:
        """Return whether the snapshot is the one to write; None: unknown."""
        if not self._writer_id:
            return None
        return self._writer_id == snapshot_id

    def on_complete(self, next_offset: int, now_s: float) -> None:
        """Process a complete snapshot in the log."""
        self.newest_offset = max(self.newest_offset, next_offset)
        self._newest_at_s = now_s
        self._chunk_at_s = now_s - WRITER_SILENCE_S
        self._begin_at_s = None

    def should_begin(self, next_offset: int, now_s: float) -> bool:
        """Return whether to start a snapshot now; True once per snapshot.

        Parameters
        ----------
        next_offset : int
            This entry's position in the log.
        now_s : float
            Monotonic time in seconds.
        """
        if self._newest_at_s is None:
            self._newest_at_s = now_s
        if not self._due(next_offset, now_s):
            self._begin_at_s = None
            return False
        if now_s < self._chunk_at_s + WRITER_SILENCE_S:
            return False
        if self._begin_at_s is None:
            self._begin_at_s = now_s + self._rng.uniform(0, MAX_START_DELAY_S)
        if now_s < self._begin_at_s:
            return False
        self._begin_at_s = None
        self._chunk_at_s = now_s
        self._writer_id = ""
        return True

    def _due(self, next_offset: int, now_s: float) -> bool:
        newest_at_s = self._newest_at_s or 0.0
        if next_offset <= self.newest_offset:
            return False
        if next_offset >= self.newest_offset + self._every_records:
            return True
        return now_s >= newest_at_s + self._every_s
