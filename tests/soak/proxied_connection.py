"""A connection through a proxy, which may be silenced."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio


class Way(enum.Enum):
    """Direction in which a proxy forwards the bytes of a connection."""

    REQUESTS = "requests"
    RESPONSES = "responses"


BOTH_WAYS = (Way.REQUESTS, Way.RESPONSES)


class ProxiedConnection:
    """An open connection through a proxy.

    Attributes
    ----------
    dialler : str
        IP number that the connection was opened from.
    writers : dict
        Where the bytes of each direction go.
    silent_ways : set
        Directions that deliver nothing more, not even a close.
    """

    __slots__ = ("dialler", "silent_ways", "writers")

    def __init__(
        self, dialler: str, writers: dict[Way, asyncio.StreamWriter]
    ) -> None:
        self.dialler = dialler
        self.writers = writers
        self.silent_ways: set[Way] = set()

    @property
    def is_open(self) -> bool:
        """Whether neither side has been closed yet."""
        return not any(w.transport.is_closing() for w in self.writers.values())

    def silence(self, ways: tuple[Way, ...] = BOTH_WAYS) -> None:
        """Deliver nothing more in the given directions."""
        self.silent_ways.update(ways)

    def abort(self) -> None:
        """Reset both sides."""
        for writer in self.writers.values():
            writer.transport.abort()
