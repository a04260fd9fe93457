"""Simulated store of a cell: one partition of a compacted topic."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

# Records and keys in one answer. The platform's limits are far higher, and
# are reached with large records.
MAX_READ_RECORDS = 100
NEWEST_PAGE_KEYS = 20
# Repeats of this many appends get their first answer again.
REMEMBERED_APPENDS = 5
# Times of a call to the store and of its answer, in seconds.
MIN_TRAVEL_S = 0.001
MAX_TRAVEL_S = 0.02
# Delay of an append that is executed late, in seconds.
MIN_LATE_S = 1.0
MAX_LATE_S = 6.0

Answer = tuple[str, int]
Record = tuple[str, bytes | None]


class StoreModel:
    """A partition that fences writers by epoch and sequence.

    Attributes
    ----------
    down : str
        ``refuse`` or ``silent`` while the store does nothing.
    lost_share : float
        Share of the appends that are done, some late, and not answered.
    travel_factor : float
        How many times the usual time a call takes.
    muted : bool
        Whether reads that wait get no records.
    first_offset : int
        The first offset that can still be read.
    """

    def __init__(
        self, rng: random.Random, after: Callable[[float, object], None]
    ) -> None:
        self.records: list[Record] = []
        self.down = ""
        self.lost_share = 0.0
        self.travel_factor = 1.0
        self.muted = False
        self.first_offset = 0
        self._newest: dict[str, int] = {}
        self._rng = rng
        self._after = after
        self._epoch = 0
        self._sequence = 0
        self._epoch_began_at = 0
        self._readers: list[tuple[float, int, Callable[[object], None]]] = []

    def receive(
        self,
        execute: Callable[[], object],
        answer: Callable[[object], None],
        *,
        may_lose: bool = False,
    ) -> None:
        """Execute a call after its way here, and answer it."""
        if self.down == "refuse":
            self._after(self.travel_s(), lambda: answer("refused"))
        if self.down:
            return
        if may_lose and self._rng.random() < self.lost_share:
            delay_s = self.travel_s()
            if self._rng.random() < 0.5:
                delay_s = self._rng.uniform(MIN_LATE_S, MAX_LATE_S)
            self._after(delay_s, execute)
            return
        self._after(self.travel_s(), lambda: answer(execute()))

    def travel_s(self) -> float:
        """Return the time of a way to or from the store."""
        return self.travel_factor * self._rng.uniform(
            MIN_TRAVEL_S, MAX_TRAVEL_S
        )

    def append(
        self, records: list[Record], epoch: int = 0, sequence: int = 0
    ) -> Answer:
        """Return ``done``, ``fenced`` or ``sequence``, and a number."""
        if epoch:
            if epoch < self._epoch:
                return "fenced", 0
            expected = self._sequence + 1
            if epoch == self._epoch and sequence != expected:
                oldest = max(
                    self._epoch_began_at, expected - REMEMBERED_APPENDS
                )
                if oldest <= sequence < expected:
                    return "done", 0
                return "sequence", expected
            if epoch > self._epoch:
                self._epoch_began_at = sequence
            self._epoch, self._sequence = epoch, sequence
        for key, value in records:
            self._newest[key] = len(self.records)
            if value is None:
                del self._newest[key]
            self.records.append((key, value))
        return "done", 0

    def newest(
        self, after: str
    ) -> tuple[list[tuple[int, str, bytes | None]], bool, int]:
        """Return a page of the newest records, by key."""
        keys = sorted(key for key in self._newest if key > after)
        page = [
            (self._newest[key], key, self.records[self._newest[key]][1])
            for key in keys[:NEWEST_PAGE_KEYS]
        ]
        return page, len(keys) > len(page), len(self.records)

    def read(
        self,
        from_offset: int,
        until_s: float,
        answer: Callable[[object], None],
    ) -> None:
        """Answer with records, or with none at the given time."""
        self._readers.append((until_s, from_offset, answer))

    def step(self, now_s: float) -> None:
        """Answer the reads that wait."""
        for reader in list(self._readers):
            until_s, from_offset, answer = reader
            has_records = from_offset < len(self.records)
            if now_s < until_s and (self.muted or not has_records):
                continue
            self._readers.remove(reader)
            if from_offset < self.first_offset:
                answer("expired")
                continue
            last = from_offset + MAX_READ_RECORDS
            end_offset = len(self.records)
            answer((from_offset, self.records[from_offset:last], end_offset))

    def trim(self) -> None:
        """Delete all records but the newest of each key."""
        self.first_offset = len(self.records)
