"""Incremental reads of a cell's records from the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccapoint.cell import cell_records
from yuccapoint.cell.exceptions import DamagedRecordError
from yuccapoint.connection.cell_store import StoreRecordsExpiredError
from yuccapoint.exceptions import YuccapointError
from yuccapoint.process.steady_clock import steady_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.cell.cell_records import CellRecord
    from yuccapoint.cell.cell_view import CellView
    from yuccapoint.connection.cell_store import CellStore
    from yuccapoint.connection.cell_store import StoredRecord
    from yuccapoint.process.process_logger import ProcessLogger

# Long-poll time of a read in milliseconds; a half-open connection is noticed
# after this and the timeout of a call.
READ_WAIT_MS = 700
# Backoff after a failed read in seconds, doubled up to the maximum: reads
# must succeed within two seconds after the store recovers.
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.8
# A read returns 1 MB at most and no part of a record; one that returned less
# than this has reached the end.
FULL_READ_BYTES = 250_000
# The view counts as stale after this many seconds without a successful read.
STALE_AFTER_S = 2.0


class CellTail:
    """Keeps a view of a cell up to date with the store.

    Parameters
    ----------
    store : CellStore
        Store of the cell.
    view : CellView
        View that the records are applied to.
    on_record : callable
        Called with the record of each change.
    on_read : callable
        Called after each successful read.
    logger : ProcessLogger
        Receives the log lines.

    Attributes
    ----------
    read_pause_s : float
        Pause after a read that returned records, which lets a read batch
        many small records.
    """

    def __init__(
        self,
        store: CellStore,
        view: CellView,
        on_record: Callable[[CellRecord | None], None],
        on_read: Callable[[], None],
        logger: ProcessLogger,
    ) -> None:
        self.read_pause_s = 0.0
        self.loaded = False
        self.last_read_at_s = 0.0
        self._store = store
        self._view = view
        self._on_record = on_record
        self._on_read = on_read
        self._logger = logger
        self._next_offset: int | None = None
        # A caller's catch-up may load the store at the same time.
        self._loads = 0
        self._failing = False

    @property
    def is_loading(self) -> bool:
        """Whether only the newest record of each key is being read."""
        return self._next_offset is None or self._loads > 0

    @property
    def up_to_date(self) -> bool:
        """Whether a read succeeded recently."""
        return self.loaded and steady_s() - self.last_read_at_s < STALE_AFTER_S

    async def run(self) -> None:
        """Read until cancelled."""
        retry_s = FIRST_RETRY_S
        while True:
            try:
                has_records = await self._read_once()
            except StoreRecordsExpiredError as error:
                self._logger.log(
                    "store", "history truncated, reloading", error=str(error)
                )
                self._next_offset = None
                await asyncio.sleep(retry_s)
                retry_s = min(retry_s * 2, MAX_RETRY_S)
                continue
            except YuccapointError as error:
                self._log_failure(error)
                await asyncio.sleep(retry_s)
                retry_s = min(retry_s * 2, MAX_RETRY_S)
                continue
            retry_s = FIRST_RETRY_S
            if self._failing:
                self._failing = False
                self._logger.log("store", "reads recovered")
            if has_records and self.read_pause_s:
                await asyncio.sleep(self.read_pause_s)

    async def catch_up(self) -> None:
        """Read all records that are in the store now.

        Raises
        ------
        YuccapointError
            The read failed.
        """
        if self._next_offset is None:
            await self._load()
            return
        await self._read_to_end(self._next_offset)

    async def _read_to_end(self, offset: int) -> int:
        """Apply the records from an offset on; return the end offset."""
        while True:
            records, offset = await self._store.read(offset, 0)
            self._apply(records)
            size = sum(len(stored.value or b"") for stored in records)
            if size < FULL_READ_BYTES:
                return offset

    async def _read_once(self) -> bool:
        if self._next_offset is None:
            await self._load()
            return True
        records, next_offset = await self._store.read(
            self._next_offset, READ_WAIT_MS
        )
        self._apply(records)
        self._next_offset = next_offset
        self._mark_read()
        return bool(records)

    async def _load(self) -> None:
        self._loads += 1
        try:
            await self._load_newest()
        finally:
            self._loads -= 1
        self._mark_read()

    async def _load_newest(self) -> None:
        records, follow_from = await self._store.read_newest()
        self._apply(records)
        self._view.retain({record.key for record in records}, follow_from)
        # Records that changed while the pages were read.
        next_offset = await self._read_to_end(follow_from)
        self._next_offset = next_offset
        self.loaded = True
        self._logger.log(
            "store", "loaded", keys=len(records), offset=next_offset
        )

    def _mark_read(self) -> None:
        self.last_read_at_s = steady_s()
        self._on_read()

    def _apply(self, records: list[StoredRecord]) -> None:
        for stored in records:
            try:
                self._apply_record(stored)
            except DamagedRecordError as error:
                self._log_skipped(stored, str(error))
            except Exception as error:  # noqa: BLE001
                # One record must not end the reads, nor each reader's.
                self._log_skipped(stored, repr(error))

    def _apply_record(self, stored: StoredRecord) -> None:
        record = None
        if stored.value is not None:
            record = cell_records.decode(stored.key, stored.value)
        if self._view.apply(stored.key, record, stored.offset):
            self._on_record(record)

    def _log_skipped(self, stored: StoredRecord, error: str) -> None:
        self._logger.log(
            "store",
            "damaged record skipped",
            offset=stored.offset,
            key=stored.key,
            error=error,
        )

    def _log_failure(self, error: YuccapointError) -> None:
        if self._failing:
            return
        self._failing = True
        self._logger.log("store", "reads fail, retrying", error=str(error))
