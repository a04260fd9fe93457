"""Decide which entry sends its tables to an entry that lags behind."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.connection.messages import EntryHello

LAG_TIMEOUT_S = 1.5
RESEND_INTERVAL_S = 2.0


class TableRelay:
    """Watches the versions in other entries' hellos.

    One that stays at a version below ours for a while gets our tables
    from one entry: the first, by name, of those that have the newest.
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._lagging_since: dict[str, tuple[int, float]] = {}
        self._sent_at_s: dict[str, float] = {}

    def should_send(
        self,
        hello: EntryHello,
        version: int,
        alive: list[EntryHello],
        now_s: float,
    ) -> bool:
        """Tell whether to send our tables to the sender of a hello.

        Parameters
        ----------
        hello : EntryHello
            What the other entry says.
        version : int
            Our version in force.
        alive : list of EntryHello
            Live entries, this one among them.
        now_s : float
            Monotonic time in seconds.
        """
        if hello.tables_version >= version:
            self._lagging_since.pop(hello.entry, None)
            self._sent_at_s.pop(hello.entry, None)
            return False
        seen = self._lagging_since.get(hello.entry)
        if seen is None or seen[0] != hello.tables_version:
            self._lagging_since[hello.entry] = (hello.tables_version, now_s)
            return False
        if now_s < seen[1] + LAG_TIMEOUT_S:
            return False
        candidates = [h.entry for h in alive if h.tables_version >= version]
        if candidates and min(candidates) != self._entry:
            return False
        if now_s < self._sent_at_s.get(hello.entry, 0.0) + RESEND_INTERVAL_S:
            return False
        self._sent_at_s[hello.entry] = now_s
        return True
