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
from yuccapoint.connection.cell_store import StoreRecordsExpiredError
from yuccapoint.connection.newest_page import NewestPage
from yuccapoint.connection.stored_page import StoredPage
from yuccapoint.process.cell_tail import CellTail

if TYPE_CHECKING:
    from behave.runner import Context

READ_AT_S = {4: 10.0, 5: 12.2}


class _Store:
    """Has another leader at the second read of its newest records."""

    def __init__(self) -> None:
        self.reads = 0
        self.history_is_deleted = False

    async def read_newest(self, _after: str = "") -> NewestPage:
        self.reads += 1
        term, offset = (4, 5) if self.reads == 1 else (5, 9)
        await asyncio.sleep(0.05)
        leadership = Leadership(term, "e-0", 1, silent_vms=())
        value = cell_records.encode(leadership)
        record = StoredRecord(offset, cell_records.LEADERSHIP, value)
        return NewestPage([record], offset + 1, has_more=False)

    async def read(self, from_offset: int, wait_ms: int) -> StoredPage:
        await asyncio.sleep(wait_ms / 1_000)
        if self.history_is_deleted and from_offset < 10:
            raise StoreRecordsExpiredError("the history is deleted")
        return StoredPage([], from_offset, from_offset)


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

    context.store = _Store()
    context.tail = CellTail(
        context.store, CellView(), on_record, lambda: None, _Log()
    )


@when("a tail loads it, while two callers ask, and its history is deleted")
def load_twice(context: Context) -> None:
    store, tail = context.store, context.tail

    async def load() -> None:
        running = asyncio.ensure_future(tail.run())
        await asyncio.gather(tail.catch_up(), tail.catch_up())
        assert store.reads == 1, store.reads
        assert not tail.is_loading
        store.history_is_deleted = True
        async with asyncio.timeout(5.0):
            while store.reads < 2 or tail.is_loading:
                await asyncio.sleep(0.02)
        running.cancel()

    asyncio.run(load())


@then("the leases of the former leader are counted from the takeover")
def counted_from_takeover(context: Context) -> None:
    until_s = context.former.grants(READ_AT_S[5]).until_s("vm-0")
    expected_s = lease_bounds.former_grants_until_s(READ_AT_S[5])
    assert until_s == expected_s, until_s
