"""Rates of customers on routes, held over all entries."""

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
EVEN_SPLIT_FRACTION = 0.1
MAX_REPORTED_DEMANDS = 16
MAX_BUCKETS = 10_000


class CustomerDemand(msgspec.Struct, frozen=True, array_like=True):
    """What a customer asks of a limited route at one entry."""

    scope: str
    requests_per_s: float


class TokenBucket:
    """Tokens of one customer on one route, and its demand here."""

    __slots__ = (
        "window_requests",
        "demand_per_s",
        "refilled_at_s",
        "tokens",
        "window_ends_at_s",
    )

    def __init__(self, now_s: float) -> None:
        self.tokens = 1.0
        self.refilled_at_s = now_s
        self.window_requests = 0
        self.demand_per_s = 0.0
        self.window_ends_at_s = now_s + DEMAND_WINDOW_S


class PeerDemand:
    """What another entry said of its demand, and when."""

    __slots__ = ("received_at_s", "per_s_by_scope")

    def __init__(
        self, demand: Sequence[CustomerDemand], received_at_s: float
    ) -> None:
        self.per_s_by_scope = {d.scope: d.requests_per_s for d in demand}
        self.received_at_s = received_at_s


class CustomerRateLimiter:
    """Splits each rate among the entries by where the demand is.

    Entries tell each other their demand in their hellos. An entry takes a
    tenth of the rate evenly and the rest by its share of the demand; the
    shares add up to the rate when the entries have heard each other.
    """

    def __init__(self) -> None:
        self._buckets: collections.OrderedDict[str, TokenBucket] = (
            collections.OrderedDict()
        )
        self._peers: dict[str, PeerDemand] = {}

    def consume(
        self, scope: str, requests_per_s: float, entry_count: int, now_s: float
    ) -> None:
        """Take one request off a customer's rate.

        Parameters
        ----------
        scope : str
            Customer and route.
        requests_per_s : float
            Rate over all entries; 0 is no limit.
        entry_count : int
            Entries that live.
        now_s : float
            Monotonic time.

        Raises
        ------
        OverloadedError
            The rate is used up; tells when to come back.
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
                f"the customer's {requests_per_s:g} requests/s are used up",
                retry_after_s=(1.0 - bucket.tokens) / rate_per_s,
            )
        bucket.tokens -= 1.0

    def demand(self, now_s: float) -> list[CustomerDemand]:
        """Give the largest demands here, to tell other entries."""
        found = []
        for scope, bucket in self._buckets.items():
            if now_s - bucket.window_ends_at_s > DEMAND_TTL_S:
                continue
            found.append(CustomerDemand(scope, bucket.demand_per_s))
        found.sort(key=lambda demand: demand.requests_per_s, reverse=True)
        return found[:MAX_REPORTED_DEMANDS]

    def on_peer_demand(
        self, entry: str, demand: Sequence[CustomerDemand], now_s: float
    ) -> None:
        """Take over what another entry says of its demand."""
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
