"""A change of a row, kept so that members get only what they lack."""

from __future__ import annotations


class TableChange:
    """Which row an edit changed, and the pools that it concerns."""

    __slots__ = ("name", "pools", "table", "version")

    def __init__(
        self, version: int, table: str, name: str, pools: list[str]
    ) -> None:
        self.version = version
        self.table = table
        self.name = name
        self.pools = pools
