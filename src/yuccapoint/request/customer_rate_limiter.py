"""Rate limits per customer and route, shared by all entries."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec

from yuccapoint.request.exceptions import OverloadedError

if TYPE_CHECKING:
    from collections.abc import Sequence

BURST_S = 1.0
DEMAND_EWMA_WEIGHT = 0.5
DEMAND_WINDOW_S = 1.0
DEMAND_TTL_S = 5.0
# Part of each rate that is split evenly between the entries; the rest
# follows the demand.
EVEN_SPLIT_FRACTION = 0.1
# Demands that an entry reports to the others, the largest first.
MAX_REPORTED_DEMANDS = 16
# The oldest bucket is dropped first.
MAX_BUCKETS = 10_000


class CustomerDemand(msgspec.Struct, frozen=True, array_like=True):
    """Request rate of a customer on a limited route at one entry."""

    scope: str
    requests_per_s: float


class TokenBucket:
    """Tokens and local demand of one customer on one route."""

    __slots__ = (
        "demand_per_s",
        "refilled_at_s",
        "tokens",
        "window_ends_at_s",
        "window_requests",
    )

    def __init__(self, now_s: float) -> None:
        self.tokens = 1.0
        self.refilled_at_s = now_s
        self.window_requests = 0
        self.demand_per_s = 0.0
        self.window_ends_at_s = now_s + DEMAND_WINDOW_S


class PeerDemand:
    """Demand reported by another entry, with its time of arrival."""

    __slots__ = ("per_s_by_scope", "received_at_s")

    def __init__(
        self, demand: Sequence[CustomerDemand], received_at_s: float
    ) -> None:
        self.per_s_by_scope = {d.scope: d.requests_per_s for d in demand}
        self.received_at_s = received_at_s


class CustomerRateLimiter:
    """Splits each rate limit between the entries by demand.

    Entries exchange their demand in their heartbeats. A tenth of the rate
    is split evenly and the rest in proportion to each entry's demand. The
    shares add up to the rate once every entry has the others' demand.
    """

    def __init__(self) -> None:
        self._buckets: collections.OrderedDict[str, TokenBucket] = (
            collections.OrderedDict()
        )
        self._peers: dict[str, PeerDemand] = {}

    def consume(
        self, scope: str, requests_per_s: float, entry_count: int, now_s: float
    ) -> None:
        """Consume one token of a customer's rate.

        Parameters
        ----------
        scope : str
            Customer and route.
        requests_per_s : float
            Rate limit over all entries; 0 means no limit.
        entry_count : int
            Live entries.
        now_s : float
            Monotonic time.

        Raises
        ------
        OverloadedError
            The rate is exhausted; the error says when to retry.
        """
        if requests_per_s <= 0:
            return
        bucket = self._bucket(scope, now_s)
        _record_demand(bucket, now_s)
        rate_per_s = requests_per_s * self._rate_fraction(
            scope, bucket, entry_count, now_s
        )
        elapsed_s = now_s - bucket.refilled_at_s
        capacity = max(1.0, rate_per_s * BURST_S)
        bucket.tokens = min(capacity, bucket.tokens + elapsed_s * rate_per_s)
        bucket.refilled_at_s = now_s
        if bucket.tokens < 1.0:
            raise OverloadedError(
                f"the customer's {requests_per_s:g} requests/s are exhausted",
                retry_after_s=(1.0 - bucket.tokens) / rate_per_s,
            )
        bucket.tokens -= 1.0

    def demand(self, now_s: float) -> list[CustomerDemand]:
        """Return the largest local demands, to report to other entries."""
        demands = []
        for scope, bucket in self._buckets.items():
            if now_s - bucket.window_ends_at_s > DEMAND_TTL_S:
                continue
            demands.append(CustomerDemand(scope, bucket.demand_per_s))
        demands.sort(key=lambda demand: demand.requests_per_s, reverse=True)
        return demands[:MAX_REPORTED_DEMANDS]

    def on_peer_demand(
        self, entry: str, demand: Sequence[CustomerDemand], now_s: float
    ) -> None:
        """Record the demand reported by another entry."""
        self._peers[entry] = PeerDemand(demand, now_s)
        for name, peer in list(self._peers.items()):
            if now_s - peer.received_at_s > DEMAND_TTL_S:
                del self._peers[name]

    def _rate_fraction(
        self, scope: str, bucket: TokenBucket, entry_count: int, now_s: float
    ) -> float:
        total_per_s = bucket.demand_per_s
        for peer in self._peers.values():
            if now_s - peer.received_at_s <= DEMAND_TTL_S:
                total_per_s += peer.per_s_by_scope.get(scope, 0.0)
        even = 1.0 / max(1, entry_count)
        if total_per_s <= 0:
            return even
        by_demand = bucket.demand_per_s / total_per_s
        return (
            EVEN_SPLIT_FRACTION * even
            + (1.0 - EVEN_SPLIT_FRACTION) * by_demand
        )

    def _bucket(self, scope: str, now_s: float) -> TokenBucket:
        bucket = self._buckets.get(scope)
        if bucket is None:
            bucket = TokenBucket(now_s)
            self._buckets[scope] = bucket
            if len(self._buckets) > MAX_BUCKETS:
                self._buckets.popitem(last=False)
        return bucket


def _record_demand(bucket: TokenBucket, now_s: float) -> None:
    if now_s >= bucket.window_ends_at_s:
        elapsed_s = now_s - bucket.window_ends_at_s + DEMAND_WINDOW_S
        observed_per_s = bucket.window_requests / elapsed_s
        bucket.demand_per_s += DEMAND_EWMA_WEIGHT * (
            observed_per_s - bucket.demand_per_s
        )
        bucket.window_requests = 0
        bucket.window_ends_at_s = now_s + DEMAND_WINDOW_S
    bucket.window_requests += 1
