"""How long leases and leadership hold, and what clocks may be off by."""

from __future__ import annotations

# Lease of a VM in seconds: an agent that is gone for 3.5 s keeps its tasks,
# and a lost VM's work resumes within six seconds.
VM_LEASE_S = 5.0
# Seconds for which a leader grants leases after its last renewal.
LEADER_LEASE_S = 2.5
# A leader renews this often, in seconds: three may get lost.
RENEW_INTERVAL_S = 0.7
# Seconds of silence after which another entry takes the cell over.
LEADER_TIMEOUT_S = 2.0
# Clocks of two VMs differ by at most 2 %; the rest is for the loop's delay.
MAX_CLOCK_RATIO = 1.04
# Clocks of workers may run this much slower than ours.
MIN_WORKER_CLOCK_RATE = 0.98
# Seconds between two reports of an agent, and between a leader's calls to
# an agent that it has not heard.
REPORT_INTERVAL_S = 0.8
PROBE_INTERVAL_S = 0.5
# A VM that was not heard for this many seconds gets no new work.
STALE_AFTER_S = 1.8
# Seconds of silence after which a connection is made anew.
RECONNECT_AFTER_S = 1.3


def granted_until_s(asked_at_s: float) -> float:
    """Give when a lease that was asked for by a time has surely run out."""
    return asked_at_s + VM_LEASE_S * MAX_CLOCK_RATIO


def former_grants_until_s(took_over_at_s: float) -> float:
    """Give when all leases granted by former leaders have run out."""
    return took_over_at_s + (LEADER_LEASE_S + VM_LEASE_S) * MAX_CLOCK_RATIO
