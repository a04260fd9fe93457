"""The entries that a process knows, from settings and from each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from yuccapoint.connection.failure_detector import FailureDetector
from yuccapoint.connection.failure_detector import MemberState

if TYPE_CHECKING:
    from yuccapoint.connection.messages import EntryHello

FORGET_AFTER_S = 60.0
LIVE_STATES = (MemberState.ALIVE, MemberState.SLOW)


class KnownEntry:
    """An entry's last hello and when it came."""

    __slots__ = ("heard_at_s", "hello")

    def __init__(self, hello: EntryHello, heard_at_s: float) -> None:
        self.hello = hello
        self.heard_at_s = heard_at_s


class EntryDirectory:
    """Learns entries from their hellos; nobody keeps a list by hand.

    Parameters
    ----------
    seeds : list of str
        Control addresses from the settings.
    """

    def __init__(self, seeds: list[str]) -> None:
        self.detector = FailureDetector()
        self._seeds = seeds
        self._known: dict[str, KnownEntry] = {}
        self._learned: dict[str, float] = {}

    def tick(self, now_s: float) -> float:
        """Take note that this process runs; gives its pause in seconds."""
        return self.detector.tick(now_s)

    def learn(self, address: str, now_s: float) -> None:
        """Take over a control address from elsewhere, such as the log."""
        if address:
            self._learned[address] = now_s

    def on_hello(self, hello: EntryHello, now_s: float) -> None:
        """Take over an entry's hello, unless an older start sent it."""
        name, incarnation = split_entry(hello.entry)
        if not self.detector.heard(name, incarnation, now_s):
            return
        for other, known in list(self._known.items()):
            if other == hello.entry:
                continue
            same_name = split_entry(other)[0] == name
            address = known.hello.control_address
            if same_name or address == hello.control_address:
                del self._known[other]
        self._known[hello.entry] = KnownEntry(hello, now_s)
        for address in hello.known_addresses:
            self._learned[address] = now_s

    def alive(self, now_s: float) -> list[EntryHello]:
        """Give the entries that were heard lately and are not stopping."""
        return [
            known.hello
            for known in self._known.values()
            if self._lives(known, now_s) and not known.hello.stopping
        ]

    def addresses(self, now_s: float) -> list[str]:
        """Give all control addresses worth trying."""
        for address, learned_at_s in list(self._learned.items()):
            if now_s - learned_at_s > FORGET_AFTER_S:
                del self._learned[address]
        found = dict.fromkeys(self._seeds)
        for known in self._known.values():
            if now_s - known.heard_at_s < FORGET_AFTER_S:
                found[known.hello.control_address] = None
        found.update(dict.fromkeys(self._learned))
        return list(found)

    def preferred(self, vm: str, now_s: float) -> list[str]:
        """Order the entries that can lead a VM by rendezvous hashing."""
        names = [hello.entry for hello in self.alive(now_s) if hello.adopts]
        return sorted(
            names,
            key=lambda name: xxhash.xxh64_intdigest(f"{vm}|{name}".encode()),
            reverse=True,
        )

    def _lives(self, known: KnownEntry, now_s: float) -> bool:
        name = split_entry(known.hello.entry)[0]
        return self.detector.state(name, now_s) in LIVE_STATES


def split_entry(entry: str) -> tuple[str, int]:
    """Split an entry's id into its name and its incarnation."""
    name, _, incarnation = entry.partition("@")
    return name, int(incarnation) if incarnation.isdigit() else 0
