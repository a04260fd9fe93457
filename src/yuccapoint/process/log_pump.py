"""Moves appends to the log and applied records back."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from yuccapoint.connection.log_port import LogAnswerLostError
from yuccapoint.connection.log_port import LogRecordsExpiredError
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

IDLE_S = 0.005
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


class LogPump:
    """Runs the two loops between a cell's state and its log.

    Parameters
    ----------
    log : LogPort
        The log service.
    writer : LogWriter
        Forms the appends.
    cell : CellState
        The state that reads are applied to.
    on_applied : callable
        Called with the records of each append that was read.
    on_outage : callable
        Called with a sentence when a log call fails, and empty when the
        log answers again.
    on_restored : callable, optional
        Called when the state was replaced by a snapshot's.

    Attributes
    ----------
    caught_up : bool
        Whether the log's end was reached, with no hole since.
    seeking : bool
        Whether records were missed and a snapshot is looked for.
    """

    def __init__(
        self,
        log: LogPort,
        writer: LogWriter,
        cell: CellState,
        on_applied: Callable[[list[AppliedRecord]], None],
        on_outage: Callable[[str], None],
        rng: random.Random,
        on_restored: Callable[[], None] | None = None,
    ) -> None:
        self.caught_up = False
        self.seeking = False
        self.appends = 0
        self.append_bytes = 0
        self._log = log
        self._writer = writer
        self._cell = cell
        self._on_applied = on_applied
        self._on_outage = on_outage
        self._rng = rng
        self._on_restored = on_restored
        self._held = False
        self._collector = SnapshotAssembler()
        self._seek_offset = 0
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

    def hold(self) -> None:
        """Apply nothing until ``release``."""
        self._held = True

    def release(self) -> None:
        """Apply again what is read."""
        self._held = False

    async def _read(self) -> None:
        while True:
            asked = self._seek_offset if self.seeking else self._next()
            try:
                page = await self._log.read(asked)
            except LogRecordsExpiredError as error:
                self._seek(asked, error.earliest_offset)
                continue
            except LogUnavailableError as error:
                self._on_outage(str(error))
                await asyncio.sleep(self._rng.uniform(0.1, 0.3))
                continue
            while self._held:
                await asyncio.sleep(IDLE_S)
            if self.seeking:
                self._search(page)
                continue
            self._on_outage("")
            self._apply(page)

    def _next(self) -> int:
        return self._cell.next_offset

    def _apply(self, page: LogPage) -> None:
        for record in page.records:
            applied = self._cell.apply(
                record.offset, record.stamp_ms, record.data
            )
            self._on_applied(applied)
        if not page.records:
            self.caught_up = True

    def _seek(self, asked: int, earliest_offset: int) -> None:
        """Look for a snapshot: records before the earliest are lost.

        Going on from the earliest record would leave a hole in the state.
        """
        self.caught_up = False
        self.seeking = True
        self._seek_offset = earliest_offset
        self._collector = SnapshotAssembler()
        self._on_outage(
            f"records {asked} to {earliest_offset - 1} have expired; "
            "looking for a snapshot"
        )

    def _search(self, page: LogPage) -> None:
        for record in page.records:
            self._seek_offset = record.offset + 1
            for chunk in self._chunks(record.data):
                snapshot = self._collector.take(chunk)
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
            self._on_outage(str(error))
            return False
        self.seeking = False
        if self._on_restored is not None:
            self._on_restored()
        return True

    async def _append(self) -> None:
        backoff_s = FIRST_BACKOFF_S
        while True:
            data = self._writer.next_append(time.monotonic())
            if data is None:
                await asyncio.sleep(IDLE_S)
                continue
            sequence = self._writer.sequence
            try:
                await self._log.append(data)
            except (LogUnavailableError, LogAnswerLostError) as error:
                self._on_outage(str(error))
                await asyncio.sleep(self._rng.uniform(0, backoff_s))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
                continue
            backoff_s = FIRST_BACKOFF_S
            self.appends += 1
            self.append_bytes += len(data)
            self._writer.on_appended(sequence)
