"""Address of a queue."""

from __future__ import annotations

import msgspec


class QueueAddress(msgspec.Struct, frozen=True, array_like=True):
    """Host and path to which callers send the jobs of a queue.

    Attributes
    ----------
    host : str
        Host in lower case, without a port.
    path_prefix : str
        What the path of each request starts with.
    """

    host: str
    path_prefix: str
