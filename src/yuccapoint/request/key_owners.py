"""Which agents have to claim an idempotency key, as the log says."""

from __future__ import annotations

from typing import TYPE_CHECKING
import uuid

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

WINDOW_MS = 1_800_000
KEY_CLOCK_SLACK_MS = 60_000
MEMORY_SLACK_S = 2.0
SLOTS = 1_024
UUID_WITH_TIME = 7


class Membership:
    """One stay of an agent's start in a pool, by the log's stamps.

    ``left_ms`` is 0 while the VM is there.
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
    """An agent that has to claim a key.

    Attributes
    ----------
    incarnation : int
        The start of the agent that owned the key.
    present : bool
        Whether that start is still there; if not, what it knew is lost.
    must_remember_s : float
        For so long it may have forgotten no key.
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
    """VMs of each pool over the last while, in log order.

    At each moment a key belongs to the VM with the highest hash of both.
    All VMs that owned it within the window have to accept a claim, the
    earliest first: entries that read the log at different speeds then
    still meet at one agent.
    """

    derived_state = frozenset({"_present", "_ranked"})

    def __init__(self) -> None:
        self._present: dict[str, Membership] = {}
        self._stays: dict[str, list[Membership]] = {}
        self._ranked: dict[tuple[str, int], list[Membership]] = {}

    def rebuild(self) -> None:
        """Make again what a snapshot of the state leaves out."""
        self._ranked.clear()
        self._present.clear()
        for stays in self._stays.values():
            for stay in stays:
                if not stay.left_ms:
                    self._present[stay.vm] = stay

    def join(
        self, vm: str, pool: str, incarnation: int, stamp_ms: int
    ) -> None:
        """Take note that a VM was adopted.

        An agent that started again joins anew: it forgot all keys.
        """
        known = self._present.get(vm)
        if known is not None:
            same = known.incarnation == incarnation
            if same and known.pool == pool:
                return
            known.left_ms = stamp_ms
        stay = Membership(vm, pool, incarnation, stamp_ms)
        self._present[vm] = stay
        self._stays.setdefault(pool, []).append(stay)
        self._trim(pool, stamp_ms)

    def leave(self, vm: str, stamp_ms: int) -> None:
        """Take note that a VM was lost."""
        stay = self._present.pop(vm, None)
        if stay is not None:
            stay.left_ms = stamp_ms
            self._ranked.clear()

    def present(self) -> Iterable[str]:
        """Give the VMs that are there."""
        return list(self._present)

    def owners(
        self, pool: str, scope: str, key: str, now_ms: int
    ) -> list[KeyOwner]:
        """Give the agents that have to claim a key, the earliest first.

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
        from_ms = max(now_ms - WINDOW_MS, key_made_ms(key))
        slot = xxhash.xxh64_intdigest(f"{scope}/{key}".encode()) % SLOTS
        stays = self._relevant(pool, slot, now_ms)
        found: dict[tuple[str, int], KeyOwner] = {}
        for moment_ms in _moments(stays, from_ms):
            owner = _owner_at(stays, moment_ms)
            if owner is None or (owner.vm, owner.incarnation) in found:
                continue
            now = self._present.get(owner.vm)
            found[owner.vm, owner.incarnation] = KeyOwner(
                owner.vm,
                owner.incarnation,
                (now_ms - from_ms) / 1000 + MEMORY_SLACK_S,
                present=now is not None
                and now.incarnation == owner.incarnation,
            )
        return list(found.values())

    def _relevant(self, pool: str, slot: int, now_ms: int) -> list[Membership]:
        relevant = self._ranked.get((pool, slot))
        if relevant is not None:
            return relevant
        relevant = []
        from_ms = now_ms - WINDOW_MS
        ranked = sorted(
            self._stays.get(pool, []),
            key=lambda stay: _score(stay.vm, slot),
            reverse=True,
        )
        for stay in ranked:
            relevant.append(stay)
            if not stay.left_ms and stay.joined_ms <= from_ms:
                break
        self._ranked[pool, slot] = relevant
        return relevant

    def _trim(self, pool: str, now_ms: int) -> None:
        oldest_ms = now_ms - WINDOW_MS
        self._stays[pool] = [
            stay
            for stay in self._stays[pool]
            if not stay.left_ms or stay.left_ms >= oldest_ms
        ]
        self._ranked.clear()


def key_made_ms(key: str) -> int:
    """Tell when a key was made at the earliest; 0 when it does not say.

    A UUID of version 7 carries its time: no agent that left before then
    can have claimed it.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return 0
    if parsed.version != UUID_WITH_TIME:
        return 0
    return (parsed.int >> 80) - KEY_CLOCK_SLACK_MS


def _score(vm: str, slot: int) -> int:
    return xxhash.xxh64_intdigest(f"{slot}|{vm}".encode())


def _moments(stays: list[Membership], from_ms: int) -> list[int]:
    moments = {from_ms}
    for stay in stays:
        moments.add(max(from_ms, stay.joined_ms))
        if stay.left_ms:
            moments.add(max(from_ms, stay.left_ms))
    return sorted(moments)


def _owner_at(stays: list[Membership], moment_ms: int) -> Membership | None:
    for stay in stays:
        if stay.joined_ms > moment_ms:
            continue
        if stay.left_ms and stay.left_ms <= moment_ms:
            continue
        return stay
    return None
