"""A changed row, recorded for incremental updates."""

from __future__ import annotations


class TableChange:
    """The row that an edit changed and the pools it affects."""

    __slots__ = ("name", "pools", "table", "version")

    def __init__(
        self, version: int, table: str, name: str, pools: list[str]
    ) -> None:
        self.version = version
        self.table = table
        self.name = name
        self.pools = pools
