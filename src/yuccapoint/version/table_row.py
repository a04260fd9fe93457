"""A row of a table with the version that wrote it."""

from __future__ import annotations

from typing import Generic
from typing import TypeVar

RowT = TypeVar("RowT")


class TableRow(Generic[RowT]):
    """A row, the version at which it was accepted, and by whom."""

    __slots__ = ("operator", "row", "version")

    def __init__(self, row: RowT, version: int, operator: str) -> None:
        self.row = row
        self.version = version
        self.operator = operator
