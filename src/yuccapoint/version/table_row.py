"""A table row with its version."""

from __future__ import annotations

from typing import Generic
from typing import TypeVar

RowT = TypeVar("RowT")


class TableRow(Generic[RowT]):
    """A row, the version that accepted it and the operator who edited it."""

    __slots__ = ("operator", "row", "version")

    def __init__(self, row: RowT, version: int, operator: str) -> None:
        self.row = row
        self.version = version
        self.operator = operator
