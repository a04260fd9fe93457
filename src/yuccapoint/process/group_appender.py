"""Appends of callers' records, several to a call."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccapoint.connection.cell_store import StoreRefusedError
from yuccapoint.connection.cell_store import StoreResponseLostError
from yuccapoint.exceptions import YuccapointError
from yuccapoint.process.steady_clock import steady_s

if TYPE_CHECKING:
    from yuccapoint.connection.cell_store import CellStore

# Timeout of an append in seconds; a working store refuses an append that
# would have to wait for two seconds.
APPEND_TIMEOUT_S = 2.2
# A further append starts while the last one is unanswered for this long, as
# its connection may be silent, and for the time that a narrow link needs to
# carry it.
OVERLAP_AFTER_S = 0.6
NARROW_LINK_BYTES_PER_S = 250_000
MAX_IN_FLIGHT = 3
# Bound of the records of one append, unless it has only one. Those that come
# next wait for it on a narrow link.
MAX_BATCH_BYTES = 128_000
# A store counts as slow for a while after an append that took this long beside
# its transfer; the usual time is 0.013 s.
SLOW_APPEND_S = 0.15
SLOW_MEMORY_S = 2.0


class _PendingRecord:
    """A record that was not sent yet, with the future of its append."""

    __slots__ = ("appended", "key", "value")

    def __init__(
        self, key: str, value: bytes, appended: asyncio.Future[None]
    ) -> None:
        self.key = key
        self.value = value
        self.appended = appended


def _value_bytes(record: _PendingRecord) -> int:
    return len(record.value)


class GroupAppender:
    """Appends the records that wait at one moment with one call.

    The store appends to a partition one call at a time. When it is slow, one
    call for each record would fill its queue, and each repeat of a call that
    was given up on would make it longer.

    Parameters
    ----------
    store : CellStore
        Store of the cell.
    """

    def __init__(self, store: CellStore) -> None:
        self._store = store
        self._pending: list[_PendingRecord] = []
        self._in_flight: set[asyncio.Task[None]] = set()
        self._sender: asyncio.Task[None] | None = None
        self._overlap_at_s = 0.0
        self._slow_until_s = 0.0

    @property
    def is_slow(self) -> bool:
        """Whether an append took long of late."""
        return steady_s() < self._slow_until_s

    async def append(self, key: str, value: bytes, timeout_s: float) -> None:
        """Append a record that is safe to append twice.

        Raises
        ------
        StoreRefusedError
            The record was not appended.
        StoreResponseLostError
            The record may have been appended.
        """
        appended = asyncio.get_running_loop().create_future()
        record = _PendingRecord(key, value, appended)
        self._pending.append(record)
        if self._sender is None:
            self._sender = asyncio.ensure_future(self._send_pending())
        try:
            async with asyncio.timeout(timeout_s):
                await appended
        except TimeoutError:
            if record in self._pending:
                raise StoreRefusedError("the append was not sent") from None
            raise StoreResponseLostError("the append is unanswered") from None
        finally:
            if record in self._pending:
                self._pending.remove(record)

    async def _send_pending(self) -> None:
        while self._pending:
            if self._in_flight:
                await self._wait_for_turn()
            batch = self._next_batch()
            if not batch:
                continue
            size = sum(len(record.value) for record in batch)
            transfer_s = size / NARROW_LINK_BYTES_PER_S
            self._overlap_at_s = steady_s() + OVERLAP_AFTER_S + transfer_s
            task = asyncio.ensure_future(self._send(batch))
            self._in_flight.add(task)
            task.add_done_callback(self._in_flight.discard)
        self._sender = None

    async def _wait_for_turn(self) -> None:
        """Wait until an append ends or a further one may start."""
        wait_s: float | None = None
        if len(self._in_flight) < MAX_IN_FLIGHT:
            wait_s = max(0.0, self._overlap_at_s - steady_s())
        await asyncio.wait(
            self._in_flight,
            timeout=wait_s,
            return_when=asyncio.FIRST_COMPLETED,
        )

    def _next_batch(self) -> list[_PendingRecord]:
        """Take the oldest record and, as far as they fit, the smallest ones.

        A small record would wait for all large ones before it otherwise.
        """
        if not self._pending:
            return []
        batch = [self._pending[0]]
        size = len(batch[0].value)
        for record in sorted(self._pending[1:], key=_value_bytes):
            size += len(record.value)
            if size > MAX_BATCH_BYTES:
                break
            batch.append(record)
        sent = set(batch)
        self._pending = [r for r in self._pending if r not in sent]
        return batch

    async def _send(self, batch: list[_PendingRecord]) -> None:
        sent_at_s = steady_s()
        failure: YuccapointError | None = None
        try:
            await self._store.append(
                [(record.key, record.value) for record in batch],
                timeout_s=APPEND_TIMEOUT_S,
            )
        except YuccapointError as error:
            failure = error
        now_s = steady_s()
        size = sum(len(record.value) for record in batch)
        transfer_s = size / NARROW_LINK_BYTES_PER_S
        if now_s - sent_at_s > SLOW_APPEND_S + transfer_s:
            self._slow_until_s = now_s + SLOW_MEMORY_S
        for record in batch:
            if record.appended.done():
                continue
            if failure is None:
                record.appended.set_result(None)
            else:
                record.appended.set_exception(failure)
