"""HTTP headers that are forwarded from caller to endpoint."""

from __future__ import annotations

import msgspec


class Header(msgspec.Struct, frozen=True, array_like=True):
    """Name and value of one HTTP header."""

    name: str
    value: str


HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def end_to_end_headers(headers: list[Header]) -> list[Header]:
    """Remove the hop-by-hop headers.

    Parameters
    ----------
    headers : list of Header
        All headers as received.

    Returns
    -------
    list of Header
        The headers to forward, in the same order. Names listed in a
        ``Connection`` header are removed too (RFC 9110, section 7.6.1).
    """
    dropped = set(HOP_BY_HOP_HEADERS)
    for header in headers:
        if header.name.lower() != "connection":
            continue
        for name in header.value.split(","):
            dropped.add(name.strip().lower())
    return [h for h in headers if h.name.lower() not in dropped]
