"""Views of an edit for operators: outcome, current row and warnings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.job.records import RouteEdited
from yuccapoint.process.operator_messages import EditAnswer
from yuccapoint.process.operator_messages import EditStatus
from yuccapoint.process.operator_messages import PoolView
from yuccapoint.process.operator_messages import RouteView

if TYPE_CHECKING:
    from yuccapoint.job.records import PoolEdited
    from yuccapoint.job.vm_view import VmView
    from yuccapoint.process.entry_process import EntryProcess
    from yuccapoint.version.pool import Pool
    from yuccapoint.version.route import Route


def edit_answer(
    entry: EntryProcess, record: RouteEdited | PoolEdited, refusal: str
) -> EditAnswer:
    """Return the outcome of an edit and the current row."""
    tables = entry.cell.tables
    outcome = tables.outcomes.get(record.edit_id)
    version = tables.version if outcome is None else outcome.version
    warnings = [] if refusal else find_warnings(entry, record)
    if isinstance(record, RouteEdited):
        route_row = tables.routes.get(record.name)
        route = None
        if route_row is not None:
            route = RouteView(
                route_row.row, route_row.version, route_row.operator
            )
        return EditAnswer(version, refusal, route, None, warnings)
    pool = None
    pool_row = tables.pools.get(record.name)
    if pool_row is not None:
        pool = PoolView(pool_row.row, pool_row.version, pool_row.operator)
    return EditAnswer(version, refusal, None, pool, warnings)


def edit_status(entry: EntryProcess, edit_id: str) -> EditStatus:
    """Return the status of an edit as of the log offset that was read."""
    offset = entry.cell.next_offset
    outcome = entry.cell.tables.outcomes.get(edit_id)
    if outcome is not None:
        fate = "refused" if outcome.refusal else "accepted"
        return EditStatus(
            edit_id, fate, outcome.version, outcome.refusal, offset
        )
    reached = entry.pump.caught_up and not entry.log_fault
    if not reached or entry.writer.has_pending_edit(edit_id):
        return EditStatus(edit_id, "unknown", 0, "", offset)
    return EditStatus(edit_id, "not accepted", 0, "", offset)


def find_warnings(
    entry: EntryProcess, record: RouteEdited | PoolEdited
) -> list[str]:
    """List likely mistakes in a valid edit."""
    if record.row is None:
        return []
    views = list(entry.leader.views.values())
    if isinstance(record, RouteEdited):
        return _route_warnings(entry, record.row, views)
    return _pool_warnings(record.row, views)


def _route_warnings(
    entry: EntryProcess, route: Route, views: list[VmView]
) -> list[str]:
    warnings = []
    if not any(view.pool == route.pool for view in views):
        warnings.append(f"no VM of pool {route.pool} reports to this entry")
    for other in entry.cell.tables.current.routes.values():
        if other.name != route.name and other.prefix == route.prefix:
            warnings.append(f"route {other.name} has the same prefix")
    services = {view.service for view in entry.router.views.values()}
    if route.service not in services:
        warnings.append(
            f"no endpoint of service {route.service} reports to this entry"
        )
    return warnings


def _pool_warnings(pool: Pool, views: list[VmView]) -> list[str]:
    pool_views = [view for view in views if view.pool == pool.name]
    if not pool_views:
        return [f"no VM of pool {pool.name} reports to this entry"]
    warnings = []
    if pool.team_quota_millicores and not pool.batch:
        warnings.append("the pool has quotas but accepts no batch work")
    largest = max(view.capacity.millicores for view in pool_views)
    if pool.reserved_millicores >= largest:
        warnings.append(
            f"reserved_millicores leaves no capacity on any VM; the largest "
            f"has {largest} millicores"
        )
    total = sum(view.capacity.millicores for view in pool_views)
    for team, quota in sorted(pool.team_quota_millicores.items()):
        if quota > total:
            warnings.append(
                f"the quota of {team} exceeds the pool's {total} millicores"
            )
    return warnings
