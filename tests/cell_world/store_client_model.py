"""An entry's calls to the simulated store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccapoint.connection.cell_store import StoredRecord
from yuccapoint.connection.cell_store import StoreFencedError
from yuccapoint.connection.cell_store import StoreRecordsExpiredError
from yuccapoint.connection.cell_store import StoreRefusedError
from yuccapoint.connection.cell_store import StoreResponseLostError
from yuccapoint.connection.cell_store import StoreSequenceError
from yuccapoint.connection.newest_page import NewestPage
from yuccapoint.connection.stored_page import StoredPage
from yuccapoint.platform.store_partition import RESPONSE_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from cell_world.processor_model import ProcessorModel
    from cell_world.simulated_clock import SimulatedClock
    from cell_world.store_model import Record
    from cell_world.store_model import StoreModel


class StoreClientModel:
    """Implements ``CellStore`` on the store model.

    Attributes
    ----------
    cut : str
        ``refuse`` while the entry can't connect, ``silent`` while its calls
        get lost, ``answers`` while only their answers do.
    reads_lost : bool
        Whether reads get no answer, as they don't fit the entry's link.
    read_bytes_per_s : float
        Rate at which the entry's link carries what is read; 0 for no limit.
    """

    def __init__(
        self,
        store: StoreModel,
        clock: SimulatedClock,
        after: Callable[[float, object], None],
        processor: ProcessorModel,
    ) -> None:
        self.cut = ""
        self.reads_lost = False
        self.read_bytes_per_s = 0.0
        self._link_free_at_s = 0.0
        self._store = store
        self._clock = clock
        self._after = after
        self._processor = processor

    async def append(
        self,
        records: list[tuple[str, bytes | None]],
        *,
        writer: str = "",
        epoch: int = 0,
        sequence: int = 0,
        timeout_s: float = 0.0,
    ) -> int:
        """Append records; see ``CellStore.append``."""
        assert bool(writer) == bool(epoch)
        sent = list(records)
        self._processor.on_records(len(sent))
        result, number = await self._call(
            lambda: self._store.append(sent, epoch, sequence),
            timeout_s or RESPONSE_TIMEOUT_S,
            may_lose=True,
        )
        if result == "fenced":
            raise StoreFencedError("append is fenced")
        if result == "sequence":
            raise StoreSequenceError(number)
        return number

    async def read(self, from_offset: int, wait_ms: int) -> StoredPage:
        """Read from an offset on; see ``CellStore.read``."""
        future = asyncio.get_running_loop().create_future()
        until_s = self._clock.now_s + wait_ms / 1000
        deliver = self._answer_to(future, is_read=True)
        self._send(
            lambda: self._store.read(from_offset, until_s, deliver),
            lambda answer: None if answer is None else deliver(answer),
        )
        answer = await self._result(
            future, RESPONSE_TIMEOUT_S + wait_ms / 1000
        )
        if answer == "expired":
            raise StoreRecordsExpiredError("the records have expired")
        first, records, end_offset = answer
        await self._receive(records)
        self._processor.on_records(len(records))
        stored = [
            StoredRecord(first + n, key, value)
            for n, (key, value) in enumerate(records)
        ]
        next_offset = first + len(stored)
        return StoredPage(stored, next_offset, end_offset)

    async def read_newest(self, after: str = "") -> NewestPage:
        """Read a page of the newest records; see ``CellStore.read_newest``."""
        page, has_more, end_offset = await self._call(
            lambda: self._store.newest(after), RESPONSE_TIMEOUT_S
        )
        await self._receive([(key, value) for _, key, value in page])
        self._processor.on_records(len(page))
        records = [StoredRecord(*item) for item in page]
        return NewestPage(records, end_offset, has_more=has_more)

    async def _receive(self, records: list[Record]) -> None:
        """Wait until a page has passed the link, after the pages before.

        A response that has begun may take as long as the link needs.
        """
        if not self.read_bytes_per_s:
            return
        size = sum(len(key) + len(value or b"") for key, value in records)
        now_s = self._clock.now_s
        self._link_free_at_s = max(now_s, self._link_free_at_s)
        self._link_free_at_s += size / self.read_bytes_per_s
        await asyncio.sleep(self._link_free_at_s - now_s)
        if self.cut or self.reads_lost:
            await asyncio.sleep(RESPONSE_TIMEOUT_S)
            raise StoreResponseLostError("the store's answer stalled")

    async def _call(
        self,
        execute: Callable[[], object],
        timeout_s: float,
        *,
        may_lose: bool = False,
    ):
        future = asyncio.get_running_loop().create_future()
        # Only appends may be lost.
        answer = self._answer_to(future, is_read=not may_lose)
        self._send(execute, answer, may_lose=may_lose)
        return await self._result(future, timeout_s)

    def _send(
        self,
        execute: Callable[[], object],
        answer: Callable[[object], None],
        *,
        may_lose: bool = False,
    ) -> None:
        if self.cut == "refuse":
            raise StoreRefusedError("can't connect to the store")
        if self.cut != "silent":
            self._store.receive(execute, answer, may_lose=may_lose)

    def _answer_to(
        self, future: asyncio.Future, *, is_read: bool = False
    ) -> Callable[[object], None]:
        def deliver(answer: object) -> None:
            if self.reads_lost and is_read:
                return
            if not self.cut and not future.done():
                future.set_result(answer)

        return lambda answer: self._after(
            self._store.travel_s(), lambda: deliver(answer)
        )

    async def _result(self, future: asyncio.Future, timeout_s: float):
        try:
            async with asyncio.timeout(timeout_s):
                answer = await future
        except TimeoutError:
            raise StoreResponseLostError("no answer from the store") from None
        if answer == "refused":
            raise StoreRefusedError("the store refused the call")
        return answer
