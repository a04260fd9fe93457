"""Updates of the tables for members with an older version."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

import msgspec
import xxhash

from yuccapoint.connection.messages import TablesUpdate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccapoint.version.pool import Pool
    from yuccapoint.version.route import Route
    from yuccapoint.version.tables import Tables

ALL_POOLS = ""
LEADER_LAG_TIMEOUT_S = 2.0


def rows_digest(routes: Iterable[Route], pools: Iterable[Pool]) -> int:
    """Compute a digest of the rows that is independent of their order."""
    total = 0
    for row in (*routes, *pools):
        data = msgspec.msgpack.encode(row)
        total ^= xxhash.xxh64_intdigest(type(row).__name__.encode() + data)
    return total


class TableFeed:
    """Builds updates for members, from the changed rows or all rows.

    Parameters
    ----------
    tables : Tables
        The tables built from the log.
    """

    def __init__(self, tables: Tables) -> None:
        self._tables = tables
        self._updates: dict[tuple[str, int], TablesUpdate] = {}
        self._updates_source = tables.current
        self._lagging: dict[str, tuple[int, float]] = {}

    def should_feed(
        self, member: str, member_version: int, now_s: float, *, leads: bool
    ) -> bool:
        """Return whether this entry should send a member an update.

        The member's leader sends it. Another entry takes over when the
        member stays at one version, since its leader may be disconnected
        from the log.

        Parameters
        ----------
        member : str
            Name of the member.
        member_version : int
            Version reported by the member.
        now_s : float
            Monotonic time in seconds.
        leads : bool
            Whether this entry is the member's leader, or it has none.
        """
        if member_version >= self._tables.current.version:
            self._lagging.pop(member, None)
            return False
        if leads:
            return True
        version, since_s = self._lagging.get(member, (-1, 0.0))
        if version != member_version:
            self._lagging[member] = (member_version, now_s)
            return False
        return now_s >= since_s + LEADER_LAG_TIMEOUT_S

    def update_since(
        self, pool: str, member_version: int
    ) -> TablesUpdate | None:
        """Return the update for a member of a pool; None if up to date.

        Members of a pool with the same version share one update. It has
        all rows if the version is 0 or older than the recorded changes.

        Parameters
        ----------
        pool : str
            The member's pool; ``ALL_POOLS`` for an entry.
        member_version : int
            Version of the member's tables.
        """
        if member_version >= self._tables.current.version:
            return None
        if self._updates_source is not self._tables.current:
            self._updates.clear()
            self._updates_source = self._tables.current
        update = self._updates.get((pool, member_version))
        if update is None:
            update = self._build_update(pool, member_version)
            self._updates[(pool, member_version)] = update
        return update

    def _build_update(self, pool: str, member_version: int) -> TablesUpdate:
        current = self._tables.current
        routes = {
            name: row
            for name, row in current.routes.items()
            if pool in (ALL_POOLS, row.pool)
        }
        pools = {
            name: row
            for name, row in current.pools.items()
            if pool in (ALL_POOLS, name)
        }
        digest = rows_digest(routes.values(), pools.values())
        if not self._tables.has_changes_since(member_version):
            return TablesUpdate(
                version=current.version,
                routes=list(routes.values()),
                pools=list(pools.values()),
                digest=digest,
            )
        changed: dict[str, dict[str, None]] = {"routes": {}, "pools": {}}
        first_newer = bisect.bisect_right(
            self._tables.changes,
            member_version,
            key=lambda change: change.version,
        )
        for change in self._tables.changes[first_newer:]:
            if pool == ALL_POOLS or pool in change.pools:
                changed[change.table][change.name] = None
        return TablesUpdate(
            version=current.version,
            routes=[routes[n] for n in changed["routes"] if n in routes],
            pools=[pools[n] for n in changed["pools"] if n in pools],
            base=member_version,
            removed_routes=[n for n in changed["routes"] if n not in routes],
            removed_pools=[n for n in changed["pools"] if n not in pools],
            digest=digest,
        )
