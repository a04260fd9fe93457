"""Control messages between entries and agents.

Each is sent whole, may be lost, doubled or late, and carries what its
receiver needs to tell: sender, incarnation, sequence or term.
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
    """State and load of one endpoint beside the agent."""

    name: str
    service: str
    state: str
    slots: int
    in_flight: int
    queued: int
    service_time_s: float = 0.0


class TaskReport(msgspec.Struct, frozen=True, array_like=True):
    """State of one attempt on the VM.

    ``outcome`` is empty while the attempt lives, else one of ``done``,
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
    """An agent's state, sent each second; it asks for the VM's lease.

    ``wants_leader`` names the entry that is asked to adopt the VM under
    ``term``; empty when the agent has a leader that answers.
    """

    vm: str
    incarnation: int
    sequence: int
    term: int
    wants_leader: str
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

    ``claimed_term`` is the VM's term at the claim. An agent that was
    started after it can't tell whether the attempt was started before.
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


class AttemptNoted(msgspec.Struct, frozen=True, array_like=True):
    """The end of an attempt is in the log; the agent may forget it."""

    job_id: str
    attempt: int


class LeaseGrant(
    msgspec.Struct, frozen=True, tag="lg", array_like=True, kw_only=True
):
    """The right to run tasks on a VM, in answer to one report.

    ``ttl_s`` counts from when the agent sent the report that
    ``reply_to`` names, so that a late grant can't outlive its leader's
    count. Starts are valid only as long as the lease is.
    """

    entry: str
    vm: str
    term: int
    reply_to: int
    ttl_s: float
    starts: list[StartAttempt]
    stops: list[StopAttempt]
    noted: list[AttemptNoted]


class TablesUpdate(
    msgspec.Struct, frozen=True, tag="tu", array_like=True, kw_only=True
):
    """The rows that concern a member, at a version.

    With a ``base``, only what changed since that version; else all rows.
    ``digest`` is that of all rows after the update, 0 if not given.
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
    """What all VMs learned about interference, for one that asked."""

    vm: str
    pairs: list[PairEstimate]


class EntryHello(
    msgspec.Struct, frozen=True, tag="eh", array_like=True, kw_only=True
):
    """An entry's state, sent to other entries and to agents.

    ``adopts`` tells that the entry reaches the log and so can lead VMs
    that ask it.
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
    adopts: bool = True
    demand: list[CustomerDemand] = []


class DrainVm(msgspec.Struct, frozen=True, tag="dv", array_like=True):
    """An operator asks the agent to take no new work and move the old."""

    vm: str
    operator: str


ControlMessage = (
    AgentReport | LeaseGrant | TablesUpdate | PairPriors | EntryHello | DrainVm
)
