"""State derived from the log: tables, jobs and keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccapoint.decoding import decode
from yuccapoint.exceptions import DecodingError
from yuccapoint.exceptions import ProtocolError
from yuccapoint.job.job_board import JobBoard
from yuccapoint.job.records import AppendBatch
from yuccapoint.job.records import EntryLapsed
from yuccapoint.job.records import KeyClaimed
from yuccapoint.job.records import KeyReleased
from yuccapoint.job.records import PoolEdited
from yuccapoint.job.records import RouteEdited
from yuccapoint.job.records import SnapshotChunk
from yuccapoint.job.records import VmAdopted
from yuccapoint.job.records import VmLost
from yuccapoint.process import snapshot_image
from yuccapoint.request.key_claims import KeyClaims
from yuccapoint.request.key_owners import KeyOwners
from yuccapoint.version.tables import Tables

if TYPE_CHECKING:
    from collections.abc import Iterator

    from yuccapoint.job.records import Record
    from yuccapoint.process.snapshot_chunks import Snapshot

MAX_WRITERS = 4_096
_DECODER = msgspec.msgpack.Decoder(AppendBatch)


class AppliedRecord:
    """A record and its outcome; ``refusal`` is empty if accepted."""

    __slots__ = ("record", "refusal", "sequence", "writer")

    def __init__(
        self, record: Record, refusal: str, writer: str, sequence: int
    ) -> None:
        self.record = record
        self.refusal = refusal
        self.writer = writer
        self.sequence = sequence


class CellState:
    """Applies the appends of the log in order, each batch once.

    Attributes
    ----------
    next_offset : int
        Offset of the first append that is not applied.
    """

    derived_state = frozenset({"skipped_batches", "bad_batches"})

    def __init__(self) -> None:
        self.next_offset = 0
        self.tables = Tables()
        self.board = JobBoard(self.tables.pool)
        self.keys = KeyClaims()
        self.key_owners = KeyOwners()
        self.skipped_batches = 0
        self.bad_batches = 0
        self._sequences: dict[str, int] = {}

    def decode(self, data: bytes) -> AppendBatch:
        """Decode an append.

        Raises
        ------
        ProtocolError
            The bytes are not a batch of records.
        """
        try:
            return decode(_DECODER, data)
        except DecodingError as error:
            raise ProtocolError(f"damaged log record: {error}") from None

    def apply(
        self, offset: int, stamp_ms: int, data: bytes
    ) -> list[AppliedRecord]:
        """Apply the append at ``offset``.

        Parameters
        ----------
        offset : int
            Offset of the append in the log.
        stamp_ms : int
            When the log accepted it, in milliseconds since the epoch.
        data : bytes
            The encoded batch; a damaged one is counted and skipped.

        Returns
        -------
        list of AppliedRecord
            Its records with their outcomes; empty for a duplicate.
        """
        if offset < self.next_offset:
            return []
        self.next_offset = offset + 1
        try:
            batch = self.decode(data)
        except ProtocolError:
            self.bad_batches += 1
            return []
        if batch.sequence <= self._sequences.get(batch.writer, 0):
            self.skipped_batches += 1
            return []
        self._record_sequence(batch)
        applied = []
        for record in batch.records:
            refusal = self._apply_record(record, offset, stamp_ms)
            applied.append(
                AppliedRecord(record, refusal, batch.writer, batch.sequence)
            )
        return applied

    def slices(self) -> Iterator[bytes]:
        """Encode the state before ``next_offset``, slice by slice.

        Nothing may be applied until the iterator is exhausted.
        """
        return snapshot_image.encode_slices("", self)

    def install(self, snapshot: Snapshot) -> bool:
        """Replace the state by a snapshot; return False if it isn't newer.

        Raises
        ------
        SnapshotDamagedError
            The snapshot is invalid; the state is unchanged.
        """
        if snapshot.next_offset <= self.next_offset:
            return False
        restored = CellState()
        snapshot_image.restore("", restored, snapshot.slices)
        snapshot_image.replace_state(self, restored)
        self.next_offset = snapshot.next_offset
        return True

    def last_sequence(self, writer: str) -> int:
        """Return the last applied sequence of a writer; 0 if none."""
        return self._sequences.get(writer, 0)

    def _record_sequence(self, batch: AppendBatch) -> None:
        self._sequences.pop(batch.writer, None)
        self._sequences[batch.writer] = batch.sequence
        if len(self._sequences) > MAX_WRITERS:
            del self._sequences[next(iter(self._sequences))]

    def _apply_record(self, record: Record, offset: int, stamp_ms: int) -> str:
        if isinstance(record, RouteEdited | PoolEdited):
            return self.tables.apply(record, offset)
        if isinstance(record, KeyClaimed | KeyReleased):
            return self.keys.apply(record, stamp_ms)
        if isinstance(record, SnapshotChunk):
            return ""
        refusal = self.board.apply(record, stamp_ms)
        if not refusal:
            self._update_key_owners(record, stamp_ms)
        return refusal

    def _update_key_owners(self, record: Record, stamp_ms: int) -> None:
        if isinstance(record, VmAdopted):
            self.key_owners.join(
                record.vm, record.pool, record.incarnation, stamp_ms
            )
        if not isinstance(record, VmLost | EntryLapsed):
            return
        for vm in self.key_owners.present_vms():
            leadership = self.board.vms.get(vm)
            if leadership is None or not leadership.entry:
                self.key_owners.leave(vm, stamp_ms)
