"""Control messages between entries and agents.

A message may be lost, duplicated or delayed. It carries what its receiver
needs to detect that: sender, incarnation, sequence number or term.
"""

from __future__ import annotations

import msgspec

from yuccapoint.job.interference.pair_report import PairEstimate
from yuccapoint.job.interference.pair_report import PairReport
from yuccapoint.job.job import Job
from yuccapoint.job.size import Size
from yuccapoint.request.customer_rate_limiter import CustomerDemand
from yuccapoint.version.pool import Pool
from yuccapoint.version.route import Route


class EndpointReport(msgspec.Struct, frozen=True, array_like=True):
    """State and load of one endpoint on the agent's VM."""

    name: str
    service: str
    state: str
    slots: int
    in_flight: int
    queued: int
    service_time_s: float = 0.0


class TaskReport(msgspec.Struct, frozen=True, array_like=True):
    """State of one attempt on the VM.

    ``outcome`` is empty while the attempt runs, else one of ``done``,
    ``failed``, ``stopped``, ``refused`` and ``lapsed``.
    """

    job_id: str
    attempt: int
    outcome: str
    reason: str
    checkpoint: str


class AgentReport(
    msgspec.Struct, frozen=True, tag="ar", array_like=True, kw_only=True
):
    """An agent's state, sent each second; it requests the VM's lease.

    ``requested_leader`` names the entry that is asked to adopt the VM under
    ``term``; empty when the agent has a responsive leader.
    """

    vm: str
    incarnation: int
    sequence: int
    term: int
    requested_leader: str
    leader: str
    pool: str
    data_centre: str
    region: str
    rack: str
    control_address: str
    session_address: str
    capacity: Size
    free: Size
    ready: bool
    stopping: bool
    tables_version: int
    endpoints: list[EndpointReport]
    tasks: list[TaskReport]
    pairs: PairReport | None = None


class StartAttempt(msgspec.Struct, frozen=True, array_like=True):
    """Run an attempt of a job, from a checkpoint if there is one.

    ``claimed_term`` is the VM's term at the claim. An agent that started
    after that can't know whether the attempt was already started.
    """

    job: Job
    attempt: int
    checkpoint: str
    claimed_term: int = 0


class StopAttempt(msgspec.Struct, frozen=True, array_like=True):
    """Stop an attempt."""

    job_id: str
    attempt: int
    reason: str


class AttemptAcknowledged(msgspec.Struct, frozen=True, array_like=True):
    """The end of an attempt is in the log; the agent may forget it."""

    job_id: str
    attempt: int


class LeaseGrant(
    msgspec.Struct, frozen=True, tag="lg", array_like=True, kw_only=True
):
    """The right to run tasks on a VM, in reply to one report.

    ``ttl_s`` counts from when the agent sent the report named by
    ``reply_to``, so a delayed grant can't outlive the lease that the leader
    counts. Starts are valid only as long as the lease.
    """

    entry: str
    vm: str
    term: int
    reply_to: int
    ttl_s: float
    starts: list[StartAttempt]
    stops: list[StopAttempt]
    acknowledged: list[AttemptAcknowledged]


class TablesUpdate(
    msgspec.Struct, frozen=True, tag="tu", array_like=True, kw_only=True
):
    """The table rows that concern a member, at a version.

    With a ``base``, only the changes since that version; else all rows.
    ``digest`` covers all rows after the update; 0 if absent.
    """

    version: int
    routes: list[Route]
    pools: list[Pool]
    base: int = 0
    removed_routes: list[str] = []
    removed_pools: list[str] = []
    digest: int = 0


class PairPriors(
    msgspec.Struct, frozen=True, tag="pp", array_like=True, kw_only=True
):
    """Interference estimates of all VMs, for a VM that requested them."""

    vm: str
    pairs: list[PairEstimate]


class EntryHeartbeat(
    msgspec.Struct, frozen=True, tag="eh", array_like=True, kw_only=True
):
    """An entry's state, sent to other entries and to agents.

    ``can_lead``: the entry reaches the log, so it can lead VMs that request
    it.
    """

    entry: str
    data_centre: str
    region: str
    control_address: str
    operator_address: str
    tables_version: int
    log_offset: int
    stopping: bool
    known_addresses: list[str]
    can_lead: bool = True
    demand: list[CustomerDemand] = []


class DrainVm(msgspec.Struct, frozen=True, tag="dv", array_like=True):
    """An operator's order to refuse new work and migrate what runs."""

    vm: str
    operator: str


ControlMessage = (
    AgentReport
    | LeaseGrant
    | TablesUpdate
    | PairPriors
    | EntryHeartbeat
    | DrainVm
)
