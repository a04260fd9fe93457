"""IP addresses with a port, as text."""

from __future__ import annotations

import ipaddress
import re

_ENDPOINT = re.compile(r"([0-9.]{7,15}):([0-9]{1,5})")
MAX_PORT = 65_535


def is_ipv4_endpoint(text: str) -> bool:
    """Return whether a text is the IPv4 address and port of one process."""
    match = _ENDPOINT.fullmatch(text)
    if match is None or not 1 <= int(match[2]) <= MAX_PORT:
        return False
    try:
        address = ipaddress.IPv4Address(match[1])
    except ValueError:
        return False
    return not address.is_multicast and not address.is_unspecified
