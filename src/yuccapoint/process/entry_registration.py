"""Registration of an entry in the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccapoint.cell import cell_records
from yuccapoint.exceptions import YuccapointError

if TYPE_CHECKING:
    from yuccapoint.cell.cell_records import EntryMember
    from yuccapoint.connection.cell_store import CellStore
    from yuccapoint.process.process_logger import ProcessLogger

# Pause before a failed registration is retried, in seconds, doubled up to the
# maximum.
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 2.0


async def register_entry(
    *, store: CellStore, member: EntryMember, logger: ProcessLogger
) -> None:
    """Store an entry's address for the other entries.

    Parameters
    ----------
    store : CellStore
        Records of the cell.
    member : EntryMember
        The entry and its address.
    logger : ProcessLogger
        Receives the log lines.
    """
    key = cell_records.ENTRY + member.entry
    value = cell_records.encode(member)
    retry_s = FIRST_RETRY_S
    while True:
        try:
            await store.append([(key, value)])
        except YuccapointError as error:
            logger.log(
                "store", "registration failed, retrying", error=str(error)
            )
            await asyncio.sleep(retry_s)
            retry_s = min(2 * retry_s, MAX_RETRY_S)
            continue
        logger.log("store", "registered", entry=member.entry)
        return
