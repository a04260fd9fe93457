"""One version of both tables, indexed for lookups."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.version.pool import Pool
    from yuccapoint.version.route import Route


class CompiledTables:
    """Immutable tables; a request uses one version throughout."""

    __slots__ = ("_by_prefix", "pools", "routes", "version")

    def __init__(
        self, version: int, routes: list[Route], pools: list[Pool]
    ) -> None:
        self.version = version
        self.routes = {route.name: route for route in routes}
        self.pools = {pool.name: pool for pool in pools}
        self._by_prefix = sorted(
            routes, key=lambda route: len(route.prefix), reverse=True
        )

    def match(self, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``.

        A prefix matches whole path segments only.
        """
        for route in self._by_prefix:
            if not path.startswith(route.prefix):
                continue
            rest = path[len(route.prefix) :]
            if rest and not route.prefix.endswith("/") and rest[0] not in "/?":
                continue
            return route
        return None
