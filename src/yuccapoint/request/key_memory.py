"""The agent's memory of idempotency keys."""

from __future__ import annotations

import collections

from yuccapoint.request.exceptions import RepeatedKeyError

MAX_KEYS = 50_000


class KeyMemory:
    """Remembers keys of non-idempotent requests, the newest ones.

    A key is scoped by customer and route, so that customers can't meet.
    """

    def __init__(self) -> None:
        self._keys: collections.OrderedDict[str, bool] = (
            collections.OrderedDict()
        )

    def claim(self, scope: str, key: str) -> None:
        """Claim a key before its request runs.

        Raises
        ------
        RepeatedKeyError
            A request with the key was admitted before.
        """
        full = f"{scope}/{key}"
        if full in self._keys:
            raise RepeatedKeyError("a request with this key was accepted")
        self._keys[full] = True
        if len(self._keys) > MAX_KEYS:
            self._keys.popitem(last=False)

    def release(self, scope: str, key: str) -> None:
        """Forget a key whose request was refused before it ran."""
        self._keys.pop(f"{scope}/{key}", None)
