"""Routes to job queues, indexed for lookups."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.queue_address import QueueAddress

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccapoint.cell.queue_rules import QueueRules


class QueueRoute:
    """A route on which callers submit jobs.

    Attributes
    ----------
    host, path_prefix : str
        Host and path that the route matches; the longest prefix wins.
    rules : QueueRules
        Rules for the jobs of the route.
    config_version : int
        Version of the config with this route.
    address : QueueAddress
        Host and path in the form that is stored with jobs.
    """

    __slots__ = ("address", "config_version", "host", "path_prefix", "rules")

    def __init__(
        self,
        host: str,
        path_prefix: str,
        rules: QueueRules,
        config_version: int = 0,
    ) -> None:
        self.host = host
        self.path_prefix = path_prefix
        self.rules = rules
        self.config_version = config_version
        self.address = QueueAddress(host.lower(), path_prefix)


class QueueTable:
    """One immutable version of the routes.

    Parameters
    ----------
    version : int
        Version number, which increases with each edit.
    routes : iterable of QueueRoute
        All routes.
    max_body_bytes : int
        Maximum size of a request body.
    """

    __slots__ = ("_by_host", "_by_name", "max_body_bytes", "version")

    def __init__(
        self, version: int, routes: Iterable[QueueRoute], max_body_bytes: int
    ) -> None:
        self.version = version
        self.max_body_bytes = max_body_bytes
        self._by_host: dict[str, dict[str, QueueRoute]] = {}
        self._by_name: dict[str, QueueRoute] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.address.host, {})
            prefixes[route.path_prefix] = route
            self._by_name[route.rules.route] = route

    def find(self, host: str, path: str) -> QueueRoute | None:
        """Return the route of a request.

        Parameters
        ----------
        host : str
            Host header, with or without port.
        path : str
            Path without query.
        """
        prefixes = self._by_host.get(host.partition(":")[0].lower())
        if not prefixes:
            return None
        for end in range(len(path), 0, -1):
            route = prefixes.get(path[:end])
            if route is not None:
                return route
        return prefixes.get("")

    def find_successor(
        self, address: QueueAddress | None, name: str
    ) -> QueueRoute | None:
        """Return the route that has the jobs of a queue of another version.

        Parameters
        ----------
        address : QueueAddress or None
            Address of the queue in the other version; None if only its name
            is known.
        name : str
            Name of its route there.
        """
        named = self._by_name.get(name)
        if address is None:
            return named
        prefixes = self._by_host.get(address.host, {})
        route = prefixes.get(address.path_prefix)
        if route is not None:
            return route
        # A route of this name on another host may be another customer's.
        if named is None or named.address.host != address.host:
            return None
        return named
