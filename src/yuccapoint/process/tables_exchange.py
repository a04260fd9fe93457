"""Exchange of tables between entries while the log is away."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.version.compiled_tables import CompiledTables
from yuccapoint.version.table_feed import ALL_POOLS

if TYPE_CHECKING:
    from yuccapoint.connection.control_channel import ControlChannel
    from yuccapoint.connection.entry_directory import EntryDirectory
    from yuccapoint.connection.messages import EntryHeartbeat
    from yuccapoint.connection.messages import TablesUpdate
    from yuccapoint.process.cell_state import CellState
    from yuccapoint.process.process_logger import ProcessLogger
    from yuccapoint.version.table_feed import TableFeed
    from yuccapoint.version.table_relay import TableRelay


class TablesExchange:
    """Sends an entry's tables to others, and takes over newer ones.

    Parameters
    ----------
    cell : CellState
        Holds the tables.
    feed : TableFeed
        Builds updates.
    directory : EntryDirectory
        The other entries.
    relay : TableRelay
        Tells which entry sends an update.
    channel : ControlChannel
        Sends it.
    logger : ProcessLogger
        Receives a line for adopted tables.
    """

    __slots__ = (
        "_cell",
        "_channel",
        "_directory",
        "_feed",
        "_logger",
        "_relay",
    )

    def __init__(
        self,
        cell: CellState,
        feed: TableFeed,
        directory: EntryDirectory,
        relay: TableRelay,
        channel: ControlChannel,
        logger: ProcessLogger,
    ) -> None:
        self._cell = cell
        self._feed = feed
        self._directory = directory
        self._relay = relay
        self._channel = channel
        self._logger = logger

    def offer(self, heartbeat: EntryHeartbeat, now_s: float) -> None:
        """Send the tables to an entry that lacks them."""
        version = self._cell.tables.current.version
        alive = self._directory.live_entries(now_s)
        if not self._relay.should_send(heartbeat, version, alive, now_s):
            return
        update = self._feed.update_since(ALL_POOLS, 0)
        if update is not None:
            self._channel.send(heartbeat.control_address, update)

    def accept(self, update: TablesUpdate) -> None:
        """Install tables of another entry that are newer."""
        if update.base:
            return
        newer = CompiledTables(update.version, update.routes, update.pools)
        if self._cell.tables.install(newer):
            text = f"version {update.version} adopted from another entry"
            self._logger.log("tables", text)
