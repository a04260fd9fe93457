"""Tables of routes and pools, built from the log."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from yuccapoint.job.records import PoolEdited
from yuccapoint.job.records import RouteEdited
from yuccapoint.version.checks import check_pool
from yuccapoint.version.checks import check_route
from yuccapoint.version.compiled_tables import CompiledTables
from yuccapoint.version.table_change import TableChange
from yuccapoint.version.table_row import TableRow

if TYPE_CHECKING:
    from yuccapoint.version.pool import Pool
    from yuccapoint.version.route import Route

RowT = TypeVar("RowT")

MAX_OUTCOMES = 10_000
# Changes that remain after trimming, which starts at twice as many.
MAX_CHANGES = 2_000


class EditOutcome:
    """Decision on an edit, as determined by the log."""

    __slots__ = ("edit_id", "refusal", "version")

    def __init__(self, edit_id: str, refusal: str, version: int) -> None:
        self.edit_id = edit_id
        self.refusal = refusal
        self.version = version


class Tables:
    """Applies edits in log order; the first of concurrent edits wins.

    Attributes
    ----------
    version : int
        Offset of the newest accepted edit plus one; it never decreases.
    current : CompiledTables
        The immutable tables in effect.
    outcomes : dict of str to EditOutcome
        The most recent decisions by edit id.
    """

    derived_state = frozenset({"current", "changes"})

    def __init__(self) -> None:
        self.version = 0
        self.routes: dict[str, TableRow[Route]] = {}
        self.pools: dict[str, TableRow[Pool]] = {}
        self.outcomes: dict[str, EditOutcome] = {}
        self.current = CompiledTables(0, [], [])
        self.changes: list[TableChange] = []

    def pool(self, name: str) -> Pool | None:
        """Return a pool by name."""
        row = self.pools.get(name)
        return None if row is None else row.row

    def apply(self, record: RouteEdited | PoolEdited, offset: int) -> str:
        """Apply one edit.

        Parameters
        ----------
        record : RouteEdited or PoolEdited
            The edit, based on a version of the row.
        offset : int
            Log offset of the edit.

        Returns
        -------
        str
            Empty if accepted, else the reason for the refusal.
        """
        known = self.outcomes.get(record.edit_id)
        if known is not None:
            return known.refusal
        refusal = self._apply_edit(record, offset)
        version = self.version if refusal else offset + 1
        outcome = EditOutcome(record.edit_id, refusal, version)
        self.outcomes[record.edit_id] = outcome
        if len(self.outcomes) > MAX_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]
        return refusal

    def has_changes_since(self, version: int) -> bool:
        """Return whether all changes since a version are recorded."""
        if not version or self.current.version != self.version:
            return False
        return bool(self.changes) and self.changes[0].version <= version

    def rebuild(self) -> None:
        """Compile the rows, unless a newer version is in effect.

        Edits of one append share a version, so an equal version is
        compiled again.
        """
        if not self.changes or self.changes[-1].version != self.version:
            self.changes.clear()
        if self.version < self.current.version:
            return
        self.current = CompiledTables(
            self.version,
            [row.row for row in self.routes.values()],
            [row.row for row in self.pools.values()],
        )

    def install(self, newer: CompiledTables) -> bool:
        """Put another entry's tables into effect, if they are newer.

        Edits are still validated against the rows from the log.
        """
        if newer.version <= self.current.version:
            return False
        self.current = newer
        return True

    def refusal_of(self, record: RouteEdited | PoolEdited) -> str:
        """Return why an edit would be refused now; empty if accepted."""
        if isinstance(record, RouteEdited):
            return self._route_refusal(record)
        return self._pool_refusal(record)

    def _route_refusal(self, record: RouteEdited) -> str:
        conflict = _version_conflict(
            self.routes.get(record.name), record.expected_version
        )
        if conflict or record.row is None:
            return conflict
        return check_route(record.row, self.pools)

    def _pool_refusal(self, record: PoolEdited) -> str:
        conflict = _version_conflict(
            self.pools.get(record.name), record.expected_version
        )
        if conflict:
            return conflict
        return check_pool(record.name, record.row, self.routes)

    def _apply_edit(
        self, record: RouteEdited | PoolEdited, offset: int
    ) -> str:
        refusal = self.refusal_of(record)
        if refusal:
            return refusal
        self.version = offset + 1
        if isinstance(record, RouteEdited):
            self._record_change(
                "routes", record.name, self._affected_pools(record)
            )
            _store_row(self.routes, record.name, record.row, record, offset)
        else:
            self._record_change("pools", record.name, [record.name])
            _store_row(self.pools, record.name, record.row, record, offset)
        self.rebuild()
        return ""

    def _affected_pools(self, record: RouteEdited) -> list[str]:
        known = self.routes.get(record.name)
        rows = [known.row if known else None, record.row]
        return [row.pool for row in rows if row is not None]

    def _record_change(self, table: str, name: str, pools: list[str]) -> None:
        self.changes.append(TableChange(self.version, table, name, pools))
        if len(self.changes) > 2 * MAX_CHANGES:
            del self.changes[:MAX_CHANGES]


def _version_conflict(
    row: TableRow[Route] | TableRow[Pool] | None, expected: int
) -> str:
    actual = 0 if row is None else row.version
    if actual == expected:
        return ""
    if row is None:
        return "the row does not exist; base the edit on version 0"
    return (
        f"{row.operator} changed the row to version {actual}; "
        f"your edit was made against version {expected}"
    )


def _store_row(
    rows: dict[str, TableRow[RowT]],
    name: str,
    row: RowT | None,
    record: RouteEdited | PoolEdited,
    offset: int,
) -> None:
    if row is None:
        rows.pop(name, None)
        return
    rows[name] = TableRow(row, offset + 1, record.operator)
