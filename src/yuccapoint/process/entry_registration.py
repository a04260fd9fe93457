"""Registration of an entry in the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccapoint.cell import cell_records
from yuccapoint.cell.cell_records import EntryMember
from yuccapoint.cell.entry_capacity import EntryCapacity
from yuccapoint.exceptions import YuccapointError

if TYPE_CHECKING:
    from yuccapoint.connection.cell_store import CellStore
    from yuccapoint.process.process_logger import ProcessLogger

# Pause before a failed registration is retried, in seconds, doubled up to the
# maximum.
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 2.0


class EntryRegistration:
    """Stores an entry's address and capacity for the other entries.

    Parameters
    ----------
    store : CellStore
        Records of the cell.
    name, address : str
        Name of the entry, and its address for control messages.
    incarnation : int
        Start time of the entry in nanoseconds.
    logger : ProcessLogger
        Receives the log lines.

    Attributes
    ----------
    capacity : EntryCapacity
        What the entry's machine can carry.
    """

    __slots__ = (
        "_address",
        "_incarnation",
        "_logger",
        "_name",
        "_store",
        "capacity",
    )

    def __init__(
        self,
        store: CellStore,
        name: str,
        address: str,
        incarnation: int,
        logger: ProcessLogger,
    ) -> None:
        self.capacity = EntryCapacity()
        self._store = store
        self._name = name
        self._address = address
        self._incarnation = incarnation
        self._logger = logger

    async def run(self) -> None:
        """Store the entry; a failed attempt is repeated."""
        key = cell_records.ENTRY + self._name
        retry_s = FIRST_RETRY_S
        while True:
            member = EntryMember(
                self._name, self._address, self._incarnation, self.capacity
            )
            try:
                await self._store.append([(key, cell_records.encode(member))])
            except YuccapointError as error:
                self._logger.log(
                    "store", "registration failed, retrying", error=str(error)
                )
                await asyncio.sleep(retry_s)
                retry_s = min(2 * retry_s, MAX_RETRY_S)
                continue
            self._logger.log("store", "registered", entry=self._name)
            return
