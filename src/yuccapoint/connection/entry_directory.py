"""Directory of entries, from settings and from their heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from yuccapoint.connection.failure_detector import FailureDetector
from yuccapoint.connection.failure_detector import MemberState
from yuccapoint.decoding import parse_number

if TYPE_CHECKING:
    from yuccapoint.connection.messages import EntryHeartbeat

ADDRESS_TTL_S = 60.0
LIVE_STATES = (MemberState.ALIVE, MemberState.SLOW)


class KnownEntry:
    """An entry's last heartbeat and when it was received."""

    __slots__ = ("heartbeat", "received_at_s")

    def __init__(
        self, heartbeat: EntryHeartbeat, received_at_s: float
    ) -> None:
        self.heartbeat = heartbeat
        self.received_at_s = received_at_s


class EntryDirectory:
    """Discovers entries by their heartbeats, from seed addresses on.

    Parameters
    ----------
    seeds : list of str
        Control addresses from the settings.
    """

    def __init__(self, seeds: list[str]) -> None:
        self.detector = FailureDetector()
        self._seeds = seeds
        self._known: dict[str, KnownEntry] = {}
        self._addresses: dict[str, float] = {}

    def tick(self, now_s: float) -> float:
        """Record that this process runs; return its pause in seconds."""
        return self.detector.tick(now_s)

    def add_address(self, address: str, now_s: float) -> None:
        """Add a control address from another source, such as the log."""
        if address:
            self._addresses[address] = now_s

    def on_heartbeat(self, heartbeat: EntryHeartbeat, now_s: float) -> None:
        """Store an entry's heartbeat unless an older incarnation sent it."""
        name, incarnation = split_entry_id(heartbeat.entry)
        if not self.detector.record_heartbeat(name, incarnation, now_s):
            return
        for other, known in list(self._known.items()):
            if other == heartbeat.entry:
                continue
            same_name = split_entry_id(other)[0] == name
            address = known.heartbeat.control_address
            if same_name or address == heartbeat.control_address:
                del self._known[other]
        self._known[heartbeat.entry] = KnownEntry(heartbeat, now_s)
        for address in heartbeat.known_addresses:
            self._addresses[address] = now_s

    def live_entries(self, now_s: float) -> list[EntryHeartbeat]:
        """List the entries with a recent heartbeat that are not stopping."""
        return [
            known.heartbeat
            for known in self._known.values()
            if self._is_live(known, now_s) and not known.heartbeat.stopping
        ]

    def control_addresses(self, now_s: float) -> list[str]:
        """List the control addresses to send to, without expired ones."""
        for address, seen_at_s in list(self._addresses.items()):
            if now_s - seen_at_s > ADDRESS_TTL_S:
                del self._addresses[address]
        found = dict.fromkeys(self._seeds)
        for known in self._known.values():
            if now_s - known.received_at_s < ADDRESS_TTL_S:
                found[known.heartbeat.control_address] = None
        found.update(dict.fromkeys(self._addresses))
        return list(found)

    def rank_leaders(self, vm: str, now_s: float) -> list[str]:
        """Rank the entries that can lead a VM by rendezvous hashing."""
        names = [
            heartbeat.entry
            for heartbeat in self.live_entries(now_s)
            if heartbeat.can_lead
        ]
        return sorted(
            names,
            key=lambda name: xxhash.xxh64_intdigest(f"{vm}|{name}".encode()),
            reverse=True,
        )

    def _is_live(self, known: KnownEntry, now_s: float) -> bool:
        name = split_entry_id(known.heartbeat.entry)[0]
        return self.detector.state(name, now_s) in LIVE_STATES


def split_entry_id(entry: str) -> tuple[str, int]:
    """Split an entry id into name and incarnation."""
    name, _, incarnation = entry.partition("@")
    return name, parse_number(incarnation) or 0
