"""Selection of the entry that sends tables to one that lags behind."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.connection.messages import EntryHeartbeat

LAG_TIMEOUT_S = 1.5
RESEND_INTERVAL_S = 2.0


class TableRelay:
    """Monitors the versions in the heartbeats of other entries.

    An entry that stays at an older version, because it can't read the log,
    gets the tables from one other entry: the first by name of those that
    are at least at this entry's version.
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._lagging_since: dict[str, tuple[int, float]] = {}
        self._sent_at_s: dict[str, float] = {}

    def should_send(
        self,
        peer: EntryHeartbeat,
        version: int,
        alive: list[EntryHeartbeat],
        now_s: float,
    ) -> bool:
        """Return whether to send this entry's tables to a peer.

        Parameters
        ----------
        peer : EntryHeartbeat
            Last heartbeat of the peer.
        version : int
            Version of this entry's tables.
        alive : list of EntryHeartbeat
            Heartbeats of the live entries, including this one.
        now_s : float
            Monotonic time in seconds.
        """
        if peer.tables_version >= version:
            self._lagging_since.pop(peer.entry, None)
            self._sent_at_s.pop(peer.entry, None)
            return False
        lagging = self._lagging_since.get(peer.entry)
        if lagging is None or lagging[0] != peer.tables_version:
            self._lagging_since[peer.entry] = (peer.tables_version, now_s)
            return False
        if now_s < lagging[1] + LAG_TIMEOUT_S:
            return False
        candidates = [
            other.entry for other in alive if other.tables_version >= version
        ]
        if candidates and min(candidates) != self._entry:
            return False
        if now_s < self._sent_at_s.get(peer.entry, 0.0) + RESEND_INTERVAL_S:
            return False
        self._sent_at_s[peer.entry] = now_s
        return True
