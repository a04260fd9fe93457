"""Recognizes copies of requests that a session has seen."""

from __future__ import annotations

import collections

MAX_NUMBERS = 8_192


class LateCopies:
    """Numbers of a session's requests, the newest ones.

    A number below all that are kept counts as seen, so that forgetting
    refuses a request rather than letting it run twice.
    """

    __slots__ = ("_floor", "_seen")

    def __init__(self) -> None:
        self._floor = 0
        self._seen: collections.OrderedDict[int, bool] = (
            collections.OrderedDict()
        )

    def note(self, request_id: int) -> bool:
        """Note a number; False when it was seen before."""
        if request_id <= self._floor or request_id in self._seen:
            return False
        self._seen[request_id] = True
        if len(self._seen) > MAX_NUMBERS:
            oldest, _ = self._seen.popitem(last=False)
            self._floor = max(self._floor, oldest)
        return True
