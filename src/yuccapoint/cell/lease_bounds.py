"""Durations of leases and leadership, and bounds of clock differences."""

from __future__ import annotations

# Lease of a VM. An agent may be absent for 3.5 s without losing its tasks,
# and the work of a lost VM resumes within 6 s.
VM_LEASE_S = 5.0
# A leader may grant leases for this long after its last renewal.
LEADER_LEASE_S = 2.5
# Interval between renewals of the leadership; three may be lost.
RENEW_INTERVAL_S = 0.7
# The least interval, for renewals that tell of silent VMs.
MIN_RENEW_INTERVAL_S = 0.2
# Another entry takes over after this time without a renewal.
LEADER_TIMEOUT_S = 2.0
# A leader's silence counts only as long as reads of the store succeed; each
# takes 0.7 s at most where there is nothing to read. With a renewal's interval
# this stays below the timeout.
MAX_READ_AGE_S = 1.1
# Clocks of two VMs differ by at most 2 %; the rest covers delays of the
# event loop.
MAX_CLOCK_RATIO = 1.04
# Workers' clocks may run this much slower than the agent's.
MIN_WORKER_CLOCK_RATE = 0.98
# Interval between reports of an agent, and between probes that a leader
# sends to a silent agent.
REPORT_INTERVAL_S = 0.8
PROBE_INTERVAL_S = 0.5
# A VM without a report for this long gets no lease until a renewal is stored.
# One report of a VM that works may be late by less.
SILENT_AFTER_S = 1.3
# A VM without a report for this long gets no new work.
STALE_AFTER_S = 1.8
# The same for a VM that has not confirmed orders for this long: a lease that
# takes as long to arrive is about to expire.
UNCONFIRMED_AFTER_S = VM_LEASE_S / 2


def granted_until_s(asked_at_s: float) -> float:
    """Return when a lease requested at a time has expired for certain."""
    return asked_at_s + VM_LEASE_S * MAX_CLOCK_RATIO


def former_grants_until_s(renewed_at_s: float) -> float:
    """Return when all leases granted by former leaders have expired.

    Parameters
    ----------
    renewed_at_s : float
        Steady time in seconds at which their last renewal was read.
    """
    return renewed_at_s + (LEADER_LEASE_S + VM_LEASE_S) * MAX_CLOCK_RATIO


def remaining_until_s(read_at_s: float, remaining_ms: int) -> float:
    """Return when a time span that another VM measures has passed."""
    return read_at_s + remaining_ms / 1000 * MAX_CLOCK_RATIO
