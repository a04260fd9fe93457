"""Incremental reads of a cell's records from the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccapoint.cell import cell_records
from yuccapoint.cell.exceptions import DamagedRecordError
from yuccapoint.connection.cell_store import StoreRecordsExpiredError
from yuccapoint.exceptions import YuccapointError
from yuccapoint.process.coalesced_call import CoalescedCall
from yuccapoint.process.steady_clock import steady_s
from yuccapoint.process.store_load import StoreLoad

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.cell.cell_records import CellRecord
    from yuccapoint.cell.cell_view import CellView
    from yuccapoint.connection.cell_store import CellStore
    from yuccapoint.connection.cell_store import StoredRecord
    from yuccapoint.connection.stored_page import StoredPage
    from yuccapoint.process.process_logger import ProcessLogger

# Long-poll time of a read in milliseconds; a half-open connection is noticed
# after this and the timeout of a call.
READ_WAIT_MS = 700
# Backoff after a failed read in seconds, doubled up to the maximum: reads
# must succeed within two seconds after the store recovers.
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.8
# The view counts as stale after this many seconds without a read that reached
# the end of the log.
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
        Called after each successful read of ``run``.
    logger : ProcessLogger
        Receives the log lines.

    Attributes
    ----------
    read_pause_s : float
        Pause after a read that returned records, which lets a read batch
        many small records.
    loaded : bool
        Whether the store has been read to the end once.
    last_read_at_s : float
        Steady time in seconds of the last read that reached the end.
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
        self._load: StoreLoad | None = None
        # Held by reads that return at once, which would get the same records.
        self._read_lock = asyncio.Lock()
        self._end_offset = 0
        self._catch_up_calls = CoalescedCall(self._catch_up)
        self._failing = False

    @property
    def is_loading(self) -> bool:
        """Whether the history before the next record is unknown."""
        return self._next_offset is None or self._load is not None

    @property
    def at_end(self) -> bool:
        """Whether all records that reads have told of are applied."""
        return not self.records_behind

    @property
    def records_behind(self) -> int:
        """Records that reads have told of and that are not applied."""
        return max(0, self._end_offset - (self._next_offset or 0))

    @property
    def up_to_date(self) -> bool:
        """Whether a read reached the end of the log recently."""
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
                self._forget_history()
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
            if has_records and self.read_pause_s and self.at_end:
                await asyncio.sleep(self.read_pause_s)

    async def catch_up(self) -> None:
        """Read all records that are in the store now.

        Callers share their reads.

        Raises
        ------
        YuccapointError
            The read failed.
        """
        await self._catch_up_calls.run()

    async def _catch_up(self) -> None:
        async with self._read_lock:
            if self.is_loading:
                await self._load_store()
                return
            await self._read_to_end()

    async def _read_once(self) -> bool:
        has_records = True
        if self.at_end and not self.is_loading:
            page = await self._read_log(READ_WAIT_MS)
            has_records = bool(page.records)
        else:
            async with self._read_lock:
                if self.is_loading:
                    await self._load_store()
                else:
                    await self._read_log(0)
        self._on_read()
        return has_records

    async def _read_to_end(self) -> None:
        while (await self._read_log(0)).behind:
            continue

    async def _read_log(self, wait_ms: int) -> StoredPage:
        """Apply the next records; a read meanwhile may have done so, too."""
        offset = self._next_offset
        if offset is None:
            raise StoreRecordsExpiredError("the store is to be read anew")
        page = await self._store.read(offset, wait_ms)
        self._apply(page.records)
        if self._next_offset is not None:
            self._next_offset = max(self._next_offset, page.next_offset)
        # A read that began earlier may be answered later.
        self._end_offset = max(self._end_offset, page.end_offset)
        if self.at_end and self._load is None:
            self.last_read_at_s = steady_s()
        return page

    async def _load_store(self) -> None:
        """Read all newest records, and then the log to its end.

        A failure keeps what was read. The log is read between the pages, as
        it expires.
        """
        if self._load is None:
            self._load = StoreLoad(steady_s())
        load = self._load
        while not load.complete:
            page = await self._store.read_newest(load.after)
            load.add(page)
            self._apply(page.records)
            if self._next_offset is None:
                self._next_offset = page.end_offset
            if page.has_more:
                await self._read_log(0)
        await self._read_to_end()
        if load.began_at_offset is not None:
            self._view.retain(load.keys, load.began_at_offset)
        self._load = None
        self.loaded = True
        self._logger.log(
            "store",
            "loaded",
            keys=len(load.keys),
            offset=self._next_offset or 0,
            took_ms=int((steady_s() - load.began_at_s) * 1_000),
        )
        self.last_read_at_s = steady_s()

    def _forget_history(self) -> None:
        """Read the newest record of each key anew."""
        self._next_offset = None
        self._end_offset = 0
        self._load = None

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
        self._logger.log(
            "store",
            "reads fail, retrying",
            error=str(error),
            offset=self._next_offset or 0,
            records_behind=self.records_behind,
            keys_loaded=len(self._load.keys) if self._load else 0,
            end_read_ms_ago=int((steady_s() - self.last_read_at_s) * 1_000),
        )
