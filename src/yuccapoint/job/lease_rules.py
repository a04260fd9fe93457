"""Durations and deadlines of the two levels of leases.

An entry renews a long lease through the log. While it holds that lease, it
grants short leases to the agents of the VMs that it leads. The holder
counts a lease from its request and the granter from its answer, each on
its own monotonic clock. Both allow for a clock drift of up to
``MAX_CLOCK_DRIFT_RATIO``.
"""

from __future__ import annotations

from yuccapoint.job.job_board import ENTRY_LEASE_MS

MAX_CLOCK_DRIFT_RATIO = 0.01
VM_LEASE_S = 5.0
REPORT_INTERVAL_S = 1.0
LEADER_TIMEOUT_S = 2.2  # without an answer, an agent asks another entry
VM_TIMEOUT_S = 3.0  # without a report, a leader treats the VM as failed
RENEW_INTERVAL_S = 20.0
ENTRY_LEASE_S = ENTRY_LEASE_MS / 1000.0


def holder_deadline_s(requested_at_s: float, ttl_s: float) -> float:
    """Return the holder's deadline of a lease requested at a time."""
    return requested_at_s + ttl_s * (1.0 - MAX_CLOCK_DRIFT_RATIO)


def granter_deadline_s(granted_at_s: float, ttl_s: float) -> float:
    """Return the granter's deadline of a lease granted at a time."""
    return granted_at_s + ttl_s * (1.0 + MAX_CLOCK_DRIFT_RATIO)


def leadership_deadline_s(renewal_sent_at_s: float) -> float:
    """Return until when an entry may lead after sending a renewal."""
    return renewal_sent_at_s + ENTRY_LEASE_S * (1.0 - MAX_CLOCK_DRIFT_RATIO)
