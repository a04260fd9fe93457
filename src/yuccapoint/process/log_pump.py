"""Replication between a cell's state and its log."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from yuccapoint.connection.log_port import LogRecordsExpiredError
from yuccapoint.connection.log_port import LogResponseLostError
from yuccapoint.connection.log_port import LogUnavailableError
from yuccapoint.exceptions import ProtocolError
from yuccapoint.job.records import SnapshotChunk
from yuccapoint.process.snapshot_chunks import SnapshotAssembler
from yuccapoint.process.snapshot_image import SnapshotDamagedError

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from yuccapoint.connection.log_port import LogPage
    from yuccapoint.connection.log_port import LogPort
    from yuccapoint.connection.log_writer import LogWriter
    from yuccapoint.process.cell_state import AppliedRecord
    from yuccapoint.process.cell_state import CellState
    from yuccapoint.process.snapshot_chunks import Snapshot

IDLE_POLL_S = 0.005
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


class LogPump:
    """Runs the append loop and the read loop of a cell's log.

    Parameters
    ----------
    log : LogPort
        The log service.
    writer : LogWriter
        Builds the batches to append.
    cell : CellState
        State that the log's records are applied to.
    on_applied : callable
        Called with the applied records of each append that was read.
    on_log_status : callable
        Called with an error text when a log call fails, and with an empty
        text when the log answers again.
    on_restored : callable, optional
        Called after the state was replaced by a snapshot.

    Attributes
    ----------
    caught_up : bool
        Whether the end of the log was reached, with no records missed
        since.
    awaiting_snapshot : bool
        Whether records were missed, so that a snapshot is required.
    """

    def __init__(
        self,
        log: LogPort,
        writer: LogWriter,
        cell: CellState,
        on_applied: Callable[[list[AppliedRecord]], None],
        on_log_status: Callable[[str], None],
        rng: random.Random,
        on_restored: Callable[[], None] | None = None,
    ) -> None:
        self.caught_up = False
        self.awaiting_snapshot = False
        self.appends = 0
        self.append_bytes = 0
        self._log = log
        self._writer = writer
        self._cell = cell
        self._on_applied = on_applied
        self._on_log_status = on_log_status
        self._rng = rng
        self._on_restored = on_restored
        self._paused = False
        self._assembler = SnapshotAssembler()
        self._search_offset = 0
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start both loops."""
        self._tasks = [
            asyncio.ensure_future(self._read()),
            asyncio.ensure_future(self._append()),
        ]

    def stop(self) -> None:
        """Stop both loops."""
        for task in self._tasks:
            task.cancel()

    def pause(self) -> None:
        """Stop applying records until ``resume``."""
        self._paused = True

    def resume(self) -> None:
        """Apply records again."""
        self._paused = False

    async def _read(self) -> None:
        while True:
            from_offset = (
                self._search_offset
                if self.awaiting_snapshot
                else self._next_offset()
            )
            try:
                page = await self._log.read(from_offset)
            except LogRecordsExpiredError as error:
                self._await_snapshot(from_offset, error.earliest_offset)
                continue
            except LogUnavailableError as error:
                self._on_log_status(str(error))
                await asyncio.sleep(self._rng.uniform(0.1, 0.3))
                continue
            while self._paused:
                await asyncio.sleep(IDLE_POLL_S)
            if self.awaiting_snapshot:
                self._search_page(page)
                continue
            self._on_log_status("")
            self._apply(page)

    def _next_offset(self) -> int:
        return self._cell.next_offset

    def _apply(self, page: LogPage) -> None:
        for record in page.records:
            applied = self._cell.apply(
                record.offset, record.stamp_ms, record.data
            )
            self._on_applied(applied)
        if not page.records:
            self.caught_up = True

    def _await_snapshot(self, from_offset: int, earliest_offset: int) -> None:
        """Search the log for a snapshot after records have expired.

        Continuing from the earliest record would leave a gap in the state.
        """
        self.caught_up = False
        self.awaiting_snapshot = True
        self._search_offset = earliest_offset
        self._assembler = SnapshotAssembler()
        self._on_log_status(
            f"records {from_offset} to {earliest_offset - 1} have expired; "
            "searching for a snapshot"
        )

    def _search_page(self, page: LogPage) -> None:
        for record in page.records:
            self._search_offset = record.offset + 1
            for chunk in self._chunks(record.data):
                snapshot = self._assembler.add(chunk)
                if snapshot is not None and self._install(snapshot):
                    return

    def _chunks(self, data: bytes) -> list[SnapshotChunk]:
        try:
            batch = self._cell.decode(data)
        except ProtocolError:
            return []
        return [
            record
            for record in batch.records
            if isinstance(record, SnapshotChunk)
        ]

    def _install(self, snapshot: Snapshot) -> bool:
        try:
            if not self._cell.install(snapshot):
                return False
        except SnapshotDamagedError as error:
            self._on_log_status(str(error))
            return False
        self.awaiting_snapshot = False
        if self._on_restored is not None:
            self._on_restored()
        return True

    async def _append(self) -> None:
        backoff_s = FIRST_BACKOFF_S
        while True:
            data = self._writer.next_append(time.monotonic())
            if data is None:
                await asyncio.sleep(IDLE_POLL_S)
                continue
            sequence = self._writer.sequence
            try:
                await self._log.append(data)
            except (LogUnavailableError, LogResponseLostError) as error:
                self._on_log_status(str(error))
                await asyncio.sleep(self._rng.uniform(0, backoff_s))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
                continue
            backoff_s = FIRST_BACKOFF_S
            self.appends += 1
            self.append_bytes += len(data)
            self._writer.on_appended(sequence)
