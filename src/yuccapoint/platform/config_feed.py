"""Follows the operator's config."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccapoint.connection.cell_store import StoreHistoryLostError
from yuccapoint.exceptions import YuccapointError
from yuccapoint.platform.exceptions import DamagedMessageError
from yuccapoint.platform.operator_config import CONFIG_KEY
from yuccapoint.platform.operator_config import decode_config

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.connection.cell_store import CellStore
    from yuccapoint.connection.cell_store import StoredRecord
    from yuccapoint.process.process_logger import ProcessLogger
    from yuccapoint.version.queue_table import QueueTable

# A read waits this long for an edit, in milliseconds; a silent connection
# is noticed in time for the promised delay of an edit.
READ_WAIT_MS = 800
RETRY_S = 0.15


class ConfigFeed:
    """Reads each version and hands its table on.

    Parameters
    ----------
    store : CellStore
        The topic that the operator writes.
    install : callable
        Called with the table of each version.
    logs : ProcessLogger
        Where failures are said.
    """

    def __init__(
        self,
        store: CellStore,
        install: Callable[[QueueTable], None],
        logs: ProcessLogger,
    ) -> None:
        self._store = store
        self._install = install
        self._logs = logs
        self._next_offset: int | None = None
        self._failing = False

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            try:
                await self._read_once()
            except StoreHistoryLostError:
                self._next_offset = None
                continue
            except YuccapointError as error:
                if not self._failing:
                    self._logs.log("config", "no news", error=str(error))
                self._failing = True
                await asyncio.sleep(RETRY_S)
                continue
            if self._failing:
                self._logs.log("config", "news again")
            self._failing = False

    async def _read_once(self) -> None:
        if self._next_offset is None:
            records, self._next_offset = await self._store.read_newest()
        else:
            records, self._next_offset = await self._store.read(
                self._next_offset, READ_WAIT_MS
            )
        for record in records:
            self._take(record)

    def _take(self, record: StoredRecord) -> None:
        if record.key != CONFIG_KEY or record.value is None:
            return
        try:
            self._install(decode_config(record.value))
        except DamagedMessageError as error:
            self._logs.log(
                "config",
                "skipped a record",
                offset=record.offset,
                error=str(error),
            )
