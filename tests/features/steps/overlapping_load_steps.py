from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from yuccapoint.cell import cell_records
from yuccapoint.cell import lease_bounds
from yuccapoint.cell.cell_records import Leadership
from yuccapoint.cell.cell_view import CellView
from yuccapoint.cell.former_leadership import FormerLeadership
from yuccapoint.connection.cell_store import StoredRecord
from yuccapoint.process.cell_tail import CellTail

if TYPE_CHECKING:
    from behave.runner import Context

READ_AT_S = {4: 10.0, 5: 12.2}


class _Store:
    """Answers the second read of the newest records last."""

    def __init__(self) -> None:
        self._reads = 0

    async def read_newest(self) -> tuple[list[StoredRecord], int]:
        self._reads += 1
        term, offset = (4, 5) if self._reads == 1 else (5, 9)
        await asyncio.sleep(0.05 * (self._reads - 1))
        leadership = Leadership(term, "e-0", 1, silent_vms=())
        value = cell_records.encode(leadership)
        record = StoredRecord(offset, cell_records.LEADERSHIP, value)
        return [record], offset + 1

    async def read(
        self, from_offset: int, _wait_ms: int
    ) -> tuple[list[StoredRecord], int]:
        return [], from_offset


class _Log:
    def log(self, *_args: str, **_fields: object) -> None:
        pass


@given("a store whose first snapshot has term 4 and whose second has term 5")
def make_store(context: Context) -> None:
    context.former = FormerLeadership()

    def on_record(record: Leadership) -> None:
        context.former.on_record(
            record,
            READ_AT_S[record.term],
            follows_last=not context.tail.is_loading,
        )

    context.tail = CellTail(
        _Store(), CellView(), on_record, lambda: None, _Log()
    )


@when("a tail loads both at the same time and the second one ends later")
def load_both(context: Context) -> None:
    async def load() -> None:
        await asyncio.gather(context.tail.catch_up(), context.tail.catch_up())

    asyncio.run(load())
    assert not context.tail.is_loading


@then("the leases of the former leader are counted from the takeover")
def counted_from_takeover(context: Context) -> None:
    until_s = context.former.grants(READ_AT_S[5]).until_s("vm-0")
    expected_s = lease_bounds.former_grants_until_s(READ_AT_S[5])
    assert until_s == expected_s, until_s
