"""Stored renewals that a leader has not read back."""

from __future__ import annotations

import collections

# A leader that has not read a stored renewal back for this long, in seconds,
# while further ones are stored, misses cancellations and jobs as well. The
# next leader has to stop cancelled tasks within 4 s of the cancellation; a
# read that is lost once takes 1.6 s.
MAX_UNREAD_S = 2.0
# After this long without a stored renewal, in seconds, the store was away.
# Reads and appends return to it at different times.
MAX_STORED_GAP_S = 1.5


class UnreadRenewals:
    """Tells whether the reads of a leader lag behind its appends.

    The log has one order: a leader that reads a renewal back has read all
    records that were stored before it.
    """

    __slots__ = ("_last_stored_at_s", "_newest_read", "_unread")

    def __init__(self) -> None:
        self._unread: collections.deque[tuple[tuple[int, int], float]] = (
            collections.deque()
        )
        self._newest_read = (0, 0)
        self._last_stored_at_s = 0.0

    def on_stored(self, term: int, renewal: int, now_s: float) -> None:
        """Note a renewal whose append was answered.

        Parameters
        ----------
        term, renewal : int
            Its numbers.
        now_s : float
            Steady time in seconds.
        """
        if now_s - self._last_stored_at_s > MAX_STORED_GAP_S:
            self._unread.clear()
        self._last_stored_at_s = now_s
        # A read may be answered before the append is.
        if (term, renewal) > self._newest_read:
            self._unread.append(((term, renewal), now_s))

    def on_read(self, term: int, renewal: int) -> None:
        """Note the newest renewal that was read."""
        self._newest_read = max(self._newest_read, (term, renewal))
        while self._unread and self._unread[0][0] <= self._newest_read:
            self._unread.popleft()

    def lag_s(self, now_s: float) -> float:
        """Return for how long a stored renewal has not been read.

        Returns
        -------
        float
            Seconds; 0 if there is none, or if the store is away.
        """
        if not self._unread:
            return 0.0
        if now_s - self._last_stored_at_s > MAX_STORED_GAP_S:
            return 0.0
        return now_s - self._unread[0][1]
