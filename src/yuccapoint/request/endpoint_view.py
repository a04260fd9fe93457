"""What an entry knows of one endpoint."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.connection.messages import AgentReport
    from yuccapoint.connection.messages import EndpointReport

FAILURE_EWMA_WEIGHT = 0.2
REPORT_HALF_LIFE_S = 1.0
FAILURE_RATE_STEP = 0.25
FAILURE_HALF_LIFE_S = 5.0


class EndpointState(enum.Enum):
    """States of an endpoint; only ready ones get new work."""

    JOINING = "joining"
    READY = "ready"
    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"
    LEAVING = "leaving"

    @classmethod
    def _missing_(cls, value: object) -> EndpointState:
        """Give an unknown state, of a newer version say, no new work."""
        del value
        return cls.SUSPECTED


class EndpointView:
    """One endpoint: its last report and what this entry sent since.

    Attributes
    ----------
    own_in_flight : int
        Requests of this entry that the endpoint has not answered.
    customers : dict of str to int
        The same by customer.
    last_failure_at_s : float
        When a request failed last; older failures count less.
    failure_rate : float
        Decayed share of failed requests, 0 to 1.
    reported_at_s : float
        Arrival of the last report, on this entry's monotonic clock.
    next_probe_at_s : float
        When a quarantined endpoint may be tried again.
    """

    __slots__ = (
        "chosen_count",
        "in_flight_by_customer",
        "data_centre",
        "last_failure_at_s",
        "failure_rate",
        "consecutive_failures",
        "key",
        "own_in_flight",
        "own_in_flight_at_report",
        "pool",
        "next_probe_at_s",
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
        """Take over a new report."""
        self.pool = report.pool
        self.data_centre = report.data_centre
        self.region = report.region
        self.session_address = report.session_address
        self.slots = max(1, endpoint.slots)
        self.state = EndpointState(endpoint.state)
        self.service_time_s = endpoint.service_time_s
        self.record_load(endpoint.in_flight + endpoint.queued, now_s)

    def record_load(self, in_flight: int, now_s: float) -> None:
        """Take over a reported load of ``in_flight`` requests."""
        self.reported_load = in_flight
        self.reported_at_s = now_s
        self.own_in_flight_at_report = self.own_in_flight

    def add_request(self, customer: str) -> None:
        """Count a request of this entry in."""
        self.own_in_flight += 1
        self.in_flight_by_customer[customer] = (
            self.in_flight_by_customer.get(customer, 0) + 1
        )

    def remove_request(self, customer: str) -> None:
        """Count a request of this entry out."""
        self.own_in_flight -= 1
        left = self.in_flight_by_customer[customer] - 1
        if left:
            self.in_flight_by_customer[customer] = left
            return
        del self.in_flight_by_customer[customer]

    def load(self, now_s: float) -> float:
        """Estimate the requests a slot has to serve.

        The report counts less the older it is; what this entry sent since
        the report counts in full.
        """
        age_s = max(0.0, now_s - self.reported_at_s)
        fresh: float = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
        others = max(0, self.reported_load - self.own_in_flight_at_report)
        return (others * fresh + self.own_in_flight) / self.slots

    def wait_rank(self, customer: str, now_s: float) -> tuple[float, float]:
        """Order full endpoints for a customer; smaller is better.

        The customer's requests there take turns with the other lines, so
        that its own count and the service time tell its wait.
        """
        own = 1 + self.in_flight_by_customer.get(customer, 0)
        return own * self.service_time_s / self.slots, self.load(now_s)

    def rank(self, now_s: float) -> tuple[int, float]:
        """Order by success first, then by load; smaller is better."""
        rate = self.failure_rate
        if rate:
            age_s = now_s - self.last_failure_at_s
            rate *= 0.5 ** (age_s / FAILURE_HALF_LIFE_S)
        return int(rate / FAILURE_RATE_STEP), self.load(now_s)

    def record_result(self, *, failed: bool) -> None:
        """Count the result of one request."""
        weight = FAILURE_EWMA_WEIGHT
        self.failure_rate += weight * (failed - self.failure_rate)
