"""Agents that have to accept a claim of an idempotency key."""

from __future__ import annotations

from typing import TYPE_CHECKING
import uuid

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

CLAIM_WINDOW_MS = 1_800_000
# Clocks of callers that create UUIDs may be ahead by this much.
MAX_KEY_CLOCK_SKEW_MS = 60_000
MEMORY_MARGIN_S = 2.0
HASH_SLOTS = 1_024
TIMESTAMP_UUID_VERSION = 7


class Membership:
    """Membership of one incarnation of an agent in a pool.

    Times are log timestamps; ``left_ms`` is 0 while the VM is a member.
    """

    __slots__ = ("incarnation", "joined_ms", "left_ms", "pool", "vm")

    def __init__(
        self, vm: str, pool: str, incarnation: int, joined_ms: int
    ) -> None:
        self.vm = vm
        self.pool = pool
        self.incarnation = incarnation
        self.joined_ms = joined_ms
        self.left_ms = 0


class KeyOwner:
    """An agent that has to accept the claim of a key.

    Attributes
    ----------
    incarnation : int
        Incarnation of the agent that owned the key.
    present : bool
        Whether that incarnation is still running; if not, its keys are
        lost.
    must_remember_s : float
        Time for which the agent must have kept all keys.
    """

    __slots__ = ("incarnation", "must_remember_s", "present", "vm")

    def __init__(
        self,
        vm: str,
        incarnation: int,
        must_remember_s: float,
        *,
        present: bool,
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.must_remember_s = must_remember_s
        self.present = present


class KeyOwners:
    """Recent memberships of each pool, in log order.

    At any time, the owner of a key is the VM with the highest rendezvous
    hash. Every VM that owned the key within the claim window has to accept
    a claim, the earliest owner first. Entries that read the log at
    different speeds therefore share at least one agent for each key.
    """

    derived_state = frozenset({"_present", "_ranked"})

    def __init__(self) -> None:
        self._present: dict[str, Membership] = {}
        self._stays: dict[str, list[Membership]] = {}
        self._ranked: dict[tuple[str, int], list[Membership]] = {}

    def rebuild(self) -> None:
        """Recompute the state that snapshots leave out."""
        self._ranked.clear()
        self._present.clear()
        for memberships in self._stays.values():
            for membership in memberships:
                if not membership.left_ms:
                    self._present[membership.vm] = membership

    def join(
        self, vm: str, pool: str, incarnation: int, stamp_ms: int
    ) -> None:
        """Record that a VM joined a pool.

        A restarted agent gets a new membership, since it lost all keys.
        """
        known = self._present.get(vm)
        if known is not None:
            same = known.incarnation == incarnation
            if same and known.pool == pool:
                return
            known.left_ms = stamp_ms
        membership = Membership(vm, pool, incarnation, stamp_ms)
        self._present[vm] = membership
        self._stays.setdefault(pool, []).append(membership)
        self._drop_expired(pool, stamp_ms)

    def leave(self, vm: str, stamp_ms: int) -> None:
        """Record that a VM was lost."""
        membership = self._present.pop(vm, None)
        if membership is not None:
            membership.left_ms = stamp_ms
            self._ranked.clear()

    def present_vms(self) -> Iterable[str]:
        """Return the current members of all pools."""
        return list(self._present)

    def owners(
        self, pool: str, scope: str, key: str, now_ms: int
    ) -> list[KeyOwner]:
        """Return the agents that have to accept a claim, earliest first.

        Parameters
        ----------
        pool : str
            The route's pool.
        scope, key : str
            Customer and route, and the caller's key.
        now_ms : int
            Milliseconds since the epoch.

        Returns
        -------
        list of KeyOwner
            Empty when the pool has no VM.
        """
        from_ms = max(now_ms - CLAIM_WINDOW_MS, key_created_ms(key))
        slot = xxhash.xxh64_intdigest(f"{scope}/{key}".encode()) % HASH_SLOTS
        memberships = self._candidates(pool, slot, now_ms)
        by_agent: dict[tuple[str, int], KeyOwner] = {}
        for time_ms in _ownership_changes_ms(memberships, from_ms):
            owner = _owner_at(memberships, time_ms)
            if owner is None or (owner.vm, owner.incarnation) in by_agent:
                continue
            current = self._present.get(owner.vm)
            by_agent[owner.vm, owner.incarnation] = KeyOwner(
                owner.vm,
                owner.incarnation,
                (now_ms - from_ms) / 1000 + MEMORY_MARGIN_S,
                present=current is not None
                and current.incarnation == owner.incarnation,
            )
        return list(by_agent.values())

    def _candidates(
        self, pool: str, slot: int, now_ms: int
    ) -> list[Membership]:
        candidates = self._ranked.get((pool, slot))
        if candidates is not None:
            return candidates
        candidates = []
        from_ms = now_ms - CLAIM_WINDOW_MS
        ranked = sorted(
            self._stays.get(pool, []),
            key=lambda membership: _rendezvous_hash(membership.vm, slot),
            reverse=True,
        )
        for membership in ranked:
            candidates.append(membership)
            if not membership.left_ms and membership.joined_ms <= from_ms:
                break
        self._ranked[pool, slot] = candidates
        return candidates

    def _drop_expired(self, pool: str, now_ms: int) -> None:
        oldest_ms = now_ms - CLAIM_WINDOW_MS
        self._stays[pool] = [
            membership
            for membership in self._stays[pool]
            if not membership.left_ms or membership.left_ms >= oldest_ms
        ]
        self._ranked.clear()


def key_created_ms(key: str) -> int:
    """Return the earliest creation time of a key; 0 if it has none.

    A UUID of version 7 contains its creation time, so no agent that left
    before then can have claimed it.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return 0
    if parsed.version != TIMESTAMP_UUID_VERSION:
        return 0
    return (parsed.int >> 80) - MAX_KEY_CLOCK_SKEW_MS


def _rendezvous_hash(vm: str, slot: int) -> int:
    return xxhash.xxh64_intdigest(f"{slot}|{vm}".encode())


def _ownership_changes_ms(
    memberships: list[Membership], from_ms: int
) -> list[int]:
    times_ms = {from_ms}
    for membership in memberships:
        times_ms.add(max(from_ms, membership.joined_ms))
        if membership.left_ms:
            times_ms.add(max(from_ms, membership.left_ms))
    return sorted(times_ms)


def _owner_at(
    memberships: list[Membership], time_ms: int
) -> Membership | None:
    for membership in memberships:
        if membership.joined_ms > time_ms:
            continue
        if membership.left_ms and membership.left_ms <= time_ms:
            continue
        return membership
    return None
