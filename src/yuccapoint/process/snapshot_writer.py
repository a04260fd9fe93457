"""Background writer of snapshots."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from yuccapoint.exceptions import YuccapointError
from yuccapoint.process.snapshot_chunks import pack_chunks
from yuccapoint.process.snapshot_schedule import WRITER_SILENCE_S

if TYPE_CHECKING:
    from yuccapoint.connection.log_writer import LogWriter
    from yuccapoint.process.cell_state import CellState
    from yuccapoint.process.log_pump import LogPump
    from yuccapoint.process.snapshot_schedule import SnapshotSchedule

CHUNK_EVERY_S = 0.05
MAX_QUEUED_RECORDS = 100


class SnapshotAbortedError(YuccapointError):
    """A snapshot was started and aborted."""


class SnapshotWriter:
    """Pauses log reads while encoding, then appends chunk by chunk.

    Requests and lease grants continue; only records from the log are
    applied later. Chunks wait while many other records are queued.

    Parameters
    ----------
    name : str
        Id of this entry, with its incarnation.
    cell : CellState
        State to write.
    pump : LogPump
        Paused while the state is encoded.
    writer : LogWriter
        Appends the chunks.
    schedule : SnapshotSchedule
        Tells whether another entry writes instead.
    """

    def __init__(
        self,
        name: str,
        cell: CellState,
        pump: LogPump,
        writer: LogWriter,
        schedule: SnapshotSchedule,
    ) -> None:
        self.active = False
        self.written = 0
        self.paused_s = 0.0
        self.size_bytes = 0
        self._name = name
        self._cell = cell
        self._pump = pump
        self._writer = writer
        self._schedule = schedule

    async def write(self) -> str:
        """Write one snapshot; return empty, or why it was aborted."""
        self.active = True
        try:
            await self._write()
        except YuccapointError as error:
            return str(error)
        finally:
            self.active = False
        return ""

    async def _write(self) -> None:
        self._pump.pause()
        started_s = time.monotonic()
        next_offset = self._cell.next_offset
        encoded = []
        try:
            for encoded_slice in self._cell.slices():
                encoded.append(encoded_slice)
                await asyncio.sleep(0)
        finally:
            self._pump.resume()
            self.paused_s = time.monotonic() - started_s
        self.size_bytes = sum(len(encoded_slice) for encoded_slice in encoded)
        snapshot_id = f"{self._name}#{next_offset}"
        for chunk in pack_chunks(snapshot_id, next_offset, encoded):
            while self._writer.pending_records > MAX_QUEUED_RECORDS:
                await asyncio.sleep(CHUNK_EVERY_S)
            self._writer.add(chunk, time.monotonic())
            await asyncio.sleep(CHUNK_EVERY_S)
            if chunk.index == 0 and not await self._is_first(snapshot_id):
                raise SnapshotAbortedError(
                    "snapshot aborted: another entry writes one"
                )
        self.written += 1

    async def _is_first(self, snapshot_id: str) -> bool:
        deadline_s = time.monotonic() + WRITER_SILENCE_S
        while time.monotonic() < deadline_s:
            first = self._schedule.is_writer(snapshot_id)
            if first is not None:
                return first
            await asyncio.sleep(CHUNK_EVERY_S)
        raise SnapshotAbortedError("snapshot aborted: the log does not answer")
