"""Validation of rows of both tables before an edit is accepted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.job.placement.registry import PLACEMENT_POLICIES
from yuccapoint.request.selection.registry import SELECTION_POLICIES

if TYPE_CHECKING:
    from collections.abc import Mapping

    from yuccapoint.version.pool import Pool
    from yuccapoint.version.route import Route
    from yuccapoint.version.table_row import TableRow

ONCE_MODES = ("agent", "log")
MAX_TIMEOUT_S = 600.0


def check_route(route: Route, pools: Mapping[str, TableRow[Pool]]) -> str:
    """Validate the fields of a route and its pool.

    Parameters
    ----------
    route : Route
        The edited row.
    pools : mapping of str to TableRow
        The existing pools.

    Returns
    -------
    str
        Empty, or the reason why the edit is invalid.
    """
    if not route.name or "/" in route.name:
        return "a route needs a name without a slash"
    if not route.prefix.startswith("/"):
        return f"prefix {route.prefix!r} does not begin with a slash"
    if not route.service:
        return "a route needs a service"
    if route.pool not in pools:
        return f"there is no pool {route.pool!r}"
    if not 0 < route.timeout_s <= MAX_TIMEOUT_S:
        return f"timeout_s must be above 0 and at most {MAX_TIMEOUT_S:g}"
    if not 0 <= route.retry_ratio <= 1:
        return "retry_ratio must lie between 0 and 1"
    if route.once not in ONCE_MODES:
        return f"once must be one of {', '.join(ONCE_MODES)}"
    if route.policy not in SELECTION_POLICIES:
        return f"there is no endpoint selection policy {route.policy!r}"
    if route.hedge_after_s and not route.idempotent:
        return "only an idempotent route can be hedged"
    if route.hedge_after_s >= route.timeout_s:
        return "hedge_after_s must be below timeout_s"
    if route.hedge_after_s < 0 or route.customer_requests_per_s < 0:
        return "hedge_after_s and customer_requests_per_s can't be negative"
    return ""


def check_pool(
    name: str, pool: Pool | None, routes: Mapping[str, TableRow[Route]]
) -> str:
    """Validate the edit or removal of a pool.

    Parameters
    ----------
    name : str
        Name of the pool.
    pool : Pool or None
        The edited row, None for its removal.
    routes : mapping of str to TableRow
        The existing routes, which may refer to the pool.

    Returns
    -------
    str
        Empty, or the reason why the edit is invalid.
    """
    if pool is None:
        users = [r.row.name for r in routes.values() if r.row.pool == name]
        if users:
            return (
                f"routes still refer to the pool: {', '.join(sorted(users))}"
            )
        return ""
    if not pool.name or "/" in pool.name:
        return "a pool needs a name without a slash"
    if pool.placement not in PLACEMENT_POLICIES:
        return f"there is no placement policy {pool.placement!r}"
    if pool.tail_weight < 0 or pool.eviction_weight < 0:
        return "weights can't be negative"
    if pool.max_attempts < 1:
        return "max_attempts must be at least 1"
    if pool.reserved_millicores < 0 or pool.reserved_memory_bytes < 0:
        return "reserved amounts can't be negative"
    if any(quota < 0 for quota in pool.team_quota_millicores.values()):
        return "quotas can't be negative"
    return ""
