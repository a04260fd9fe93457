"""Moves appends to the log and applied records back."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from yuccapoint.connection.log_port import LogAnswerLostError
from yuccapoint.connection.log_port import LogRecordsExpiredError
from yuccapoint.connection.log_port import LogUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from yuccapoint.connection.log_port import LogPort
    from yuccapoint.connection.log_writer import LogWriter
    from yuccapoint.process.cell_state import Applied
    from yuccapoint.process.cell_state import CellState

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

    Attributes
    ----------
    caught_up : bool
        Whether the log's end was reached at least once.
    """

    def __init__(
        self,
        log: LogPort,
        writer: LogWriter,
        cell: CellState,
        on_applied: Callable[[list[Applied]], None],
        on_outage: Callable[[str], None],
        rng: random.Random,
    ) -> None:
        self.caught_up = False
        self.appends = 0
        self.append_bytes = 0
        self._log = log
        self._writer = writer
        self._cell = cell
        self._on_applied = on_applied
        self._on_outage = on_outage
        self._rng = rng
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

    async def _read(self) -> None:
        while True:
            asked = self._cell.next_offset
            try:
                page = await self._log.read(asked)
            except LogRecordsExpiredError as error:
                self._on_outage(f"records were missed: {error}")
                self._cell.next_offset = error.earliest_offset
                continue
            except LogUnavailableError as error:
                self._on_outage(str(error))
                await asyncio.sleep(self._rng.uniform(0.1, 0.3))
                continue
            self._on_outage("")
            for record in page.records:
                applied = self._cell.apply(
                    record.offset, record.stamp_ms, record.data
                )
                self._on_applied(applied)
            if not page.records:
                self.caught_up = True

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
