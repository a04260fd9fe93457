"""The times of the two levels of leases, in one place.

An entry holds a long lease by its renewals in the log. Within it, the
entry grants an agent short leases. A holder counts from when it asked and
a granter from when it answered, each on its own monotonic clock; both
allow for clocks that run apart by ``CLOCK_DRIFT``.
"""

from __future__ import annotations

from yuccapoint.job.job_board import ENTRY_LEASE_MS

MAX_CLOCK_DRIFT_RATIO = 0.01
VM_LEASE_S = 5.0
REPORT_INTERVAL_S = 1.0
LEADER_TIMEOUT_S = 2.2
VM_TIMEOUT_S = 3.0
RENEW_INTERVAL_S = 20.0
ENTRY_LEASE_S = ENTRY_LEASE_MS / 1000.0


def holder_deadline_s(asked_at_s: float, ttl_s: float) -> float:
    """Give the holder's deadline for a lease asked at ``asked_at_s``."""
    return asked_at_s + ttl_s * (1.0 - MAX_CLOCK_DRIFT_RATIO)


def granter_deadline_s(answered_at_s: float, ttl_s: float) -> float:
    """Give the granter's deadline for a lease answered at that time."""
    return answered_at_s + ttl_s * (1.0 + MAX_CLOCK_DRIFT_RATIO)


def leadership_deadline_s(renewal_sent_at_s: float) -> float:
    """Give until when an entry may lead after a renewal it sent."""
    return renewal_sent_at_s + ENTRY_LEASE_S * (1.0 - MAX_CLOCK_DRIFT_RATIO)
