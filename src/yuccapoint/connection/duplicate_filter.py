"""Recognizes copies of requests that a session has seen."""

from __future__ import annotations

import collections

MAX_REQUEST_IDS = 8_192


class DuplicateFilter:
    """Numbers of a session's requests, the newest ones.

    A number below all that are kept counts as seen, so that forgetting
    refuses a request rather than letting it run twice.
    """

    __slots__ = ("_low_watermark", "_seen")

    def __init__(self) -> None:
        self._low_watermark = 0
        self._seen: collections.OrderedDict[int, bool] = (
            collections.OrderedDict()
        )

    def add(self, request_id: int) -> bool:
        """Note a number; False when it was seen before."""
        if request_id <= self._low_watermark or request_id in self._seen:
            return False
        self._seen[request_id] = True
        if len(self._seen) > MAX_REQUEST_IDS:
            oldest, _ = self._seen.popitem(last=False)
            self._low_watermark = max(self._low_watermark, oldest)
        return True
