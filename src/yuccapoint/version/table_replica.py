"""A member's replica of the table rows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.version.compiled_tables import CompiledTables
from yuccapoint.version.table_feed import rows_digest

if TYPE_CHECKING:
    from yuccapoint.connection.messages import TablesUpdate


class TableReplica:
    """Applies updates that a member receives.

    The replica never reverts to an older version. After a digest mismatch,
    it requests all rows.

    Attributes
    ----------
    current : CompiledTables
        The tables in effect.
    repairs : int
        Updates with a digest mismatch, after each of which all rows were
        requested.
    """

    def __init__(self) -> None:
        self.current = CompiledTables(0, [], [])
        self.repairs = 0
        self._diverged = False

    @property
    def reported_version(self) -> int:
        """Version to report; 0 requests all rows."""
        return 0 if self._diverged else self.current.version

    def apply(self, update: TablesUpdate) -> bool:
        """Apply an update; False if it is not newer or not applicable."""
        current_version = self.current.version
        if update.version < current_version or (
            update.version == current_version and not self._diverged
        ):
            return False
        if update.base and (self._diverged or update.base != current_version):
            return False
        routes = dict(self.current.routes) if update.base else {}
        pools = dict(self.current.pools) if update.base else {}
        for name in update.removed_routes:
            routes.pop(name, None)
        for name in update.removed_pools:
            pools.pop(name, None)
        routes.update((row.name, row) for row in update.routes)
        pools.update((row.name, row) for row in update.pools)
        digest = rows_digest(routes.values(), pools.values())
        if update.digest and digest != update.digest:
            self.repairs += 1
            self._diverged = True
            return False
        self._diverged = False
        self.current = CompiledTables(
            update.version, list(routes.values()), list(pools.values())
        )
        return True
