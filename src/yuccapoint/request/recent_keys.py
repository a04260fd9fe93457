"""Idempotency keys that were recently claimed at an agent."""

from __future__ import annotations

import collections
import math

from yuccapoint.request.exceptions import RepeatedKeyError

MAX_KEYS = 50_000
KEY_RETENTION_S = 1_800.0


class RecentKey:
    """Claimant of a key and the time of the claim."""

    __slots__ = ("claimant", "claimed_at_s")

    def __init__(self, claimant: str, claimed_at_s: float) -> None:
        self.claimant = claimant
        self.claimed_at_s = claimed_at_s


class RecentKeys:
    """Stores the most recent keys of non-idempotent requests.

    A key is scoped by customer and route, so customers can't collide.
    """

    def __init__(self) -> None:
        self._complete_since_s = -math.inf
        self._keys: collections.OrderedDict[tuple[str, str], RecentKey] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._keys)

    def claim(
        self, scope: str, key: str, claimant: str = "", now_s: float = 0.0
    ) -> None:
        """Claim a key before its request runs.

        Parameters
        ----------
        scope, key : str
            Customer and route, and the caller's key.
        claimant : str
            Id of the request, which may claim the same key again.
        now_s : float
            Monotonic time.

        Raises
        ------
        RepeatedKeyError
            Another request claimed the key before.
        """
        self._expire(now_s)
        scoped_key = (scope, key)
        known = self._keys.get(scoped_key)
        if known is not None and (not claimant or known.claimant != claimant):
            raise RepeatedKeyError(
                "a request with this key was accepted before"
            )
        self._keys[scoped_key] = RecentKey(claimant, now_s)
        if len(self._keys) > MAX_KEYS:
            _, dropped = self._keys.popitem(last=False)
            self._complete_since_s = max(
                self._complete_since_s, dropped.claimed_at_s
            )

    def release(self, scope: str, key: str, claimant: str = "") -> None:
        """Remove a key whose request was refused before it ran."""
        known = self._keys.get((scope, key))
        if known is not None and known.claimant == claimant:
            del self._keys[scope, key]

    def remembers_for_s(self, now_s: float) -> float:
        """Return for how long no key was dropped early; may be infinite."""
        return now_s - self._complete_since_s

    def _expire(self, now_s: float) -> None:
        while self._keys:
            scoped_key = next(iter(self._keys))
            if self._keys[scoped_key].claimed_at_s + KEY_RETENTION_S > now_s:
                return
            del self._keys[scoped_key]
