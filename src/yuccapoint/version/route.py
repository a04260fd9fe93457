"""Row of the routes table."""

from __future__ import annotations

import msgspec


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Destination and rules of the requests with one path prefix.

    Attributes
    ----------
    name : str
        Name of the route.
    prefix : str
        Path prefix of the requests, with a leading slash.
    service : str
        Service name that endpoints announce.
    pool : str
        Name of the pool whose VMs serve the route.
    timeout_s : float
        Time limit for the complete response, in seconds.
    idempotent : bool
        Whether a request can safely run twice.
    once : str
        Where keys of non-idempotent requests are claimed before the
        request runs: ``agent`` for the agents' memory, ``log`` for the log.
    policy : str
        Name of the endpoint selection policy.
    retry_ratio : float
        Retries and hedges allowed per request, 0 to 1.
    hedge_after_s : float
        Delay after which an idempotent request is hedged, in seconds;
        0 disables hedging.
    customer_requests_per_s : float
        Rate limit of each customer over all entries; 0 means no limit.
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
