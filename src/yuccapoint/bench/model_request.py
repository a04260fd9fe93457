"""A request in the model of a pool, and its result."""

from __future__ import annotations

REQUEST_TIMEOUT_S = 1.0


class ModelRequest:
    """One request of a customer, with all its attempts."""

    __slots__ = (
        "customer",
        "deadline_s",
        "entry",
        "key",
        "sent_s",
        "tried_endpoints",
        "work_s",
    )

    def __init__(
        self, key: str, customer: str, sent_s: float, work_s: float, entry: int
    ) -> None:
        self.key = key
        self.customer = customer
        self.sent_s = sent_s
        self.deadline_s = sent_s + REQUEST_TIMEOUT_S
        self.work_s = work_s
        self.entry = entry
        self.tried_endpoints: set[str] = set()


class RequestOutcome:
    """Result of one request: answered in time, refused, or too late."""

    __slots__ = ("answered", "customer", "ended_s", "refused", "sent_s")

    def __init__(
        self,
        request: ModelRequest,
        ended_s: float,
        *,
        answered: bool,
        refused: bool,
    ) -> None:
        self.customer = request.customer
        self.sent_s = request.sent_s
        self.ended_s = ended_s
        self.answered = answered
        self.refused = refused

    @property
    def latency_s(self) -> float:
        """Latency that the caller observes."""
        return self.ended_s - self.sent_s


def percentile_ms(outcomes: list[RequestOutcome], share: float) -> float:
    """Return a percentile of the latency of answered requests in ms."""
    latencies_s = sorted(
        outcome.latency_s for outcome in outcomes if outcome.answered
    )
    if not latencies_s:
        return 0.0
    return (
        latencies_s[min(len(latencies_s) - 1, int(share * len(latencies_s)))]
        * 1000
    )
