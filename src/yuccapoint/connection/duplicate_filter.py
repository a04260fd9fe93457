"""Detects duplicate requests in a session."""

from __future__ import annotations

import collections

MAX_REQUEST_IDS = 8_192


class DuplicateFilter:
    """Remembers the most recent request ids of a session.

    An id at or below the low watermark counts as seen. Evicting ids can
    therefore cause a refusal, but never a second run of a request.
    """

    __slots__ = ("_low_watermark", "_seen")

    def __init__(self) -> None:
        self._low_watermark = 0
        self._seen: collections.OrderedDict[int, bool] = (
            collections.OrderedDict()
        )

    def add(self, request_id: int) -> bool:
        """Add a request id; return False if it is a duplicate."""
        if request_id <= self._low_watermark or request_id in self._seen:
            return False
        self._seen[request_id] = True
        if len(self._seen) > MAX_REQUEST_IDS:
            oldest, _ = self._seen.popitem(last=False)
            self._low_watermark = max(self._low_watermark, oldest)
        return True
