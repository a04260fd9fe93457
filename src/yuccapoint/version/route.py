"""A row of the table of routes."""

from __future__ import annotations

import msgspec


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Where the requests of one path prefix go, and how.

    Attributes
    ----------
    name : str
        The row's name.
    prefix : str
        Path prefix of the requests, beginning with a slash.
    service : str
        Name under which endpoints announce themselves.
    pool : str
        Name of the pool whose VMs serve the route.
    timeout_s : float
        Longest time to the end of an answer, in seconds.
    idempotent : bool
        Whether running a request twice does no harm.
    once : str
        ``agent``: keys of non-idempotent requests are kept by the agent;
        ``log``: they are claimed in the log before the request runs.
    policy : str
        Name of the endpoint choice policy.
    retry_ratio : float
        Retries and hedges allowed for each request, 0 to 1.
    hedge_after_s : float
        Time after which an idempotent request is hedged, in seconds;
        0 turns hedging off.
    customer_requests_per_s : float
        Rate allowed for each customer over all entries; 0 is no limit.
    """

    name: str
    prefix: str
    service: str
    pool: str
    timeout_s: float = 5.0
    idempotent: bool = False
    once: str = "agent"
    policy: str = "balanced"
    retry_ratio: float = 0.1
    hedge_after_s: float = 0.0
    customer_requests_per_s: float = 0.0
