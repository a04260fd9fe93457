"""Follows the operator's config topic."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccapoint.connection.cell_store import StoreRecordsExpiredError
from yuccapoint.exceptions import YuccapointError
from yuccapoint.platform.exceptions import MalformedMessageError
from yuccapoint.platform.operator_config import CONFIG_KEY
from yuccapoint.platform.operator_config import decode_config
from yuccapoint.process.steady_clock import steady_s
from yuccapoint.process.store_load import StoreLoad

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.connection.cell_store import CellStore
    from yuccapoint.connection.cell_store import StoredRecord
    from yuccapoint.process.process_logger import ProcessLogger
    from yuccapoint.version.queue_table import QueueTable

# How long a read waits for new records. Short enough to detect a stalled
# connection within the promised delay of a config edit.
READ_WAIT_MS = 800
RETRY_DELAY_S = 0.15


class ConfigFeed:
    """Reads each config version and passes its table on.

    Parameters
    ----------
    store : CellStore
        Topic that the operator writes to.
    install : callable
        Called with the table of each version.
    logger : ProcessLogger
        Log of failed reads and invalid records.
    """

    def __init__(
        self,
        store: CellStore,
        install: Callable[[QueueTable], None],
        logger: ProcessLogger,
    ) -> None:
        self._store = store
        self._install = install
        self._logger = logger
        self._next_offset: int | None = None
        self._load = StoreLoad(steady_s())
        self._failing = False

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            try:
                await self._read_once()
            except StoreRecordsExpiredError as error:
                self._logger.log(
                    "config", "history truncated; reloading", error=str(error)
                )
                self._reload()
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            except YuccapointError as error:
                if not self._failing:
                    self._logger.log(
                        "config", "read failed; retrying", error=str(error)
                    )
                self._failing = True
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if self._failing:
                self._logger.log("config", "reads succeed again")
            self._failing = False

    async def _read_once(self) -> None:
        if self._next_offset is None:
            await self._load_page()
            return
        page = await self._store.read(self._next_offset, READ_WAIT_MS)
        self._apply_page(page.records)
        self._next_offset = page.next_offset
        if page.behind:
            # The newest version replaces all others.
            self._reload()

    async def _load_page(self) -> None:
        page = await self._store.read_newest(self._load.after)
        self._load.add(page)
        self._apply_page(page.records)
        if self._load.complete:
            self._next_offset = self._load.began_at_offset

    def _reload(self) -> None:
        self._next_offset = None
        self._load = StoreLoad(steady_s())

    def _apply_page(self, records: list[StoredRecord]) -> None:
        for record in records:
            self._apply(record)

    def _apply(self, record: StoredRecord) -> None:
        if record.key != CONFIG_KEY or record.value is None:
            return
        try:
            self._install(decode_config(record.value))
        except MalformedMessageError as error:
            self._log_skipped(record, str(error))
        except Exception as error:  # noqa: BLE001
            # One record must not end the feed, nor each one that reads it.
            self._log_skipped(record, repr(error))

    def _log_skipped(self, record: StoredRecord, error: str) -> None:
        self._logger.log(
            "config",
            "skipped an invalid config record",
            offset=record.offset,
            key=record.key,
            error=error,
        )
