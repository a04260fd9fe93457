"""Idempotency keys claimed in the log."""

from __future__ import annotations

from yuccapoint.job.records import KeyClaimed
from yuccapoint.job.records import KeyReleased

KEY_RETENTION_MS = 3_600_000


class KeyClaim:
    """Claimant of a key and the log timestamp of the claim."""

    __slots__ = ("claimant", "stamp_ms")

    def __init__(self, claimant: str, stamp_ms: int) -> None:
        self.claimant = claimant
        self.stamp_ms = stamp_ms


class KeyClaims:
    """Claims of keys; the first claim in log order wins."""

    def __init__(self) -> None:
        self._claims: dict[tuple[str, str, str], KeyClaim] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def apply(self, record: KeyClaimed | KeyReleased, stamp_ms: int) -> str:
        """Apply a claim or release; return the refusal, empty if accepted."""
        self._expire(stamp_ms)
        key = (record.customer, record.route, record.key)
        claim = self._claims.get(key)
        if isinstance(record, KeyReleased):
            if claim is None or claim.claimant != record.claimant:
                return "the key is not claimed by this claimant"
            del self._claims[key]
            return ""
        if claim is not None:
            return "the key is already claimed"
        self._claims[key] = KeyClaim(record.claimant, stamp_ms)
        return ""

    def _expire(self, stamp_ms: int) -> None:
        while self._claims:
            key = next(iter(self._claims))
            if self._claims[key].stamp_ms + KEY_RETENTION_MS > stamp_ms:
                return
            del self._claims[key]
