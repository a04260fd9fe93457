"""An entry's view of one endpoint."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.connection.messages import AgentReport
    from yuccapoint.connection.messages import EndpointReport

FAILURE_EWMA_WEIGHT = 0.2
REPORT_HALF_LIFE_S = 1.0
# Endpoints whose failure rates lie in the same step are ranked by load.
FAILURE_RATE_STEP = 0.25
FAILURE_HALF_LIFE_S = 5.0


class EndpointState(enum.Enum):
    """States of an endpoint; only ready endpoints receive requests."""

    JOINING = "joining"
    READY = "ready"
    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"
    LEAVING = "leaving"

    @classmethod
    def _missing_(cls, value: object) -> EndpointState:
        """Map an unknown state, as of a newer version, to suspected."""
        del value
        return cls.SUSPECTED


class EndpointView:
    """Last report of an endpoint and the requests sent to it since.

    Attributes
    ----------
    own_in_flight : int
        Requests of this entry in flight at the endpoint.
    own_in_flight_at_report : int
        Value of ``own_in_flight`` when the last report arrived.
    in_flight_by_customer : dict of str to int
        The requests in flight of each customer.
    last_failure_at_s : float
        Time of the last failed request; older failures count less.
    failure_rate : float
        Moving average of failed requests, 0 to 1.
    reported_at_s : float
        Arrival of the last report, on this entry's monotonic clock.
    next_probe_at_s : float
        Time from which a quarantined endpoint may be probed.
    """

    __slots__ = (
        "chosen_count",
        "consecutive_failures",
        "data_centre",
        "failure_rate",
        "in_flight_by_customer",
        "key",
        "last_failure_at_s",
        "next_probe_at_s",
        "own_in_flight",
        "own_in_flight_at_report",
        "pool",
        "quarantine_s",
        "region",
        "reported_at_s",
        "reported_load",
        "service",
        "service_time_s",
        "session_address",
        "slots",
        "state",
        "vm",
    )

    def __init__(self, report: AgentReport, endpoint: EndpointReport) -> None:
        self.key = f"{report.vm}/{endpoint.name}"
        self.vm = report.vm
        self.service = endpoint.service
        self.chosen_count = 0
        self.in_flight_by_customer: dict[str, int] = {}
        self.last_failure_at_s = 0.0
        self.failure_rate = 0.0
        self.consecutive_failures = 0
        self.next_probe_at_s = 0.0
        self.quarantine_s = 0.0
        self.service_time_s = 0.0
        self.own_in_flight = 0
        self.own_in_flight_at_report = 0
        self.state = EndpointState.JOINING

    def update(
        self, report: AgentReport, endpoint: EndpointReport, now_s: float
    ) -> None:
        """Apply a new report."""
        self.pool = report.pool
        self.data_centre = report.data_centre
        self.region = report.region
        self.session_address = report.session_address
        self.slots = max(1, endpoint.slots)
        self.state = EndpointState(endpoint.state)
        self.service_time_s = endpoint.service_time_s
        self.record_load(endpoint.in_flight + endpoint.queued, now_s)

    def record_load(self, in_flight: int, now_s: float) -> None:
        """Record a reported load of ``in_flight`` requests."""
        self.reported_load = in_flight
        self.reported_at_s = now_s
        self.own_in_flight_at_report = self.own_in_flight

    def add_request(self, customer: str) -> None:
        """Count a request that this entry sends."""
        self.own_in_flight += 1
        self.in_flight_by_customer[customer] = (
            self.in_flight_by_customer.get(customer, 0) + 1
        )

    def remove_request(self, customer: str) -> None:
        """Count the end of a request of this entry."""
        self.own_in_flight -= 1
        remaining = self.in_flight_by_customer[customer] - 1
        if remaining:
            self.in_flight_by_customer[customer] = remaining
            return
        del self.in_flight_by_customer[customer]

    def load(self, now_s: float) -> float:
        """Estimate the requests per slot.

        The reported load of other entries decays with the age of the
        report; this entry's own requests count in full.
        """
        age_s = max(0.0, now_s - self.reported_at_s)
        decay: float = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
        others = max(0, self.reported_load - self.own_in_flight_at_report)
        return (others * decay + self.own_in_flight) / self.slots

    def wait_rank(self, customer: str, now_s: float) -> tuple[float, float]:
        """Rank an overloaded endpoint for a customer; smaller is better.

        The endpoint serves the queues of its customers in turn, so the
        wait depends on the customer's own requests and the service time.
        """
        own = 1 + self.in_flight_by_customer.get(customer, 0)
        return own * self.service_time_s / self.slots, self.load(now_s)

    def rank(self, now_s: float) -> tuple[int, float]:
        """Rank by failure rate, then by load; smaller is better."""
        rate = self.failure_rate
        if rate:
            age_s = now_s - self.last_failure_at_s
            rate *= 0.5 ** (age_s / FAILURE_HALF_LIFE_S)
        return int(rate / FAILURE_RATE_STEP), self.load(now_s)

    def record_result(self, *, failed: bool) -> None:
        """Update the failure rate with the result of one request."""
        weight = FAILURE_EWMA_WEIGHT
        self.failure_rate += weight * (failed - self.failure_rate)
