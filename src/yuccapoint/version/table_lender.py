"""Decides which entry lends its tables to one that can't read the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.connection.messages import EntryHeartbeat

LAGS_AFTER_S = 1.5
LEND_EVERY_S = 2.0


class TableLender:
    """Watches the versions in other entries' hellos.

    One that stays at a version below ours for a while gets our tables
    from one entry: the first, by name, of those that have the newest.
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._since: dict[str, tuple[int, float]] = {}
        self._lent_at_s: dict[str, float] = {}

    def lends(
        self,
        hello: EntryHeartbeat,
        version: int,
        alive: list[EntryHeartbeat],
        now_s: float,
    ) -> bool:
        """Tell whether to send our tables to the sender of a hello.

        Parameters
        ----------
        hello : EntryHeartbeat
            What the other entry says.
        version : int
            Our version in force.
        alive : list of EntryHeartbeat
            Live entries, this one among them.
        now_s : float
            Monotonic time in seconds.
        """
        if hello.tables_version >= version:
            self._since.pop(hello.entry, None)
            self._lent_at_s.pop(hello.entry, None)
            return False
        seen = self._since.get(hello.entry)
        if seen is None or seen[0] != hello.tables_version:
            self._since[hello.entry] = (hello.tables_version, now_s)
            return False
        if now_s < seen[1] + LAGS_AFTER_S:
            return False
        able = [h.entry for h in alive if h.tables_version >= version]
        if able and min(able) != self._entry:
            return False
        if now_s < self._lent_at_s.get(hello.entry, 0.0) + LEND_EVERY_S:
            return False
        self._lent_at_s[hello.entry] = now_s
        return True
