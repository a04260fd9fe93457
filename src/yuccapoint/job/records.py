"""Records of the log, from which every reader derives the same state."""

from __future__ import annotations

import msgspec

from yuccapoint.job.job import Job
from yuccapoint.version.pool import Pool
from yuccapoint.version.route import Route


class EntryRenewed(msgspec.Struct, frozen=True, tag="er"):
    """An entry is alive: its long lease counts from this record's stamp.

    ``control_address`` lets others find the entry.
    """

    entry: str
    control_address: str = ""


class EntryLapsed(msgspec.Struct, frozen=True, tag="el"):
    """An entry's long lease ran out; its VMs have no leader."""

    entry: str


class EntryLeft(msgspec.Struct, frozen=True, tag="eq"):
    """An entry stopped as planned and grants no more leases."""

    entry: str


class VmAdopted(msgspec.Struct, frozen=True, tag="va"):
    """An agent asked the entry to lead its VM under a new term.

    ``incarnation`` is the agent's: what it kept dies with it.
    """

    vm: str
    term: int
    entry: str
    pool: str
    incarnation: int = 0


class VmLost(msgspec.Struct, frozen=True, tag="vl"):
    """The leader waited out the VM's lease; nothing runs there."""

    vm: str
    term: int
    entry: str
    reason: str


class JobSubmitted(msgspec.Struct, frozen=True, tag="js"):
    """A team submitted a job."""

    job: Job


class JobClaimed(msgspec.Struct, frozen=True, tag="jc"):
    """The VM's leader claims the next attempt of a queued job."""

    job_id: str
    attempt: int
    vm: str
    term: int
    entry: str
    reason: str


class JobCheckpointed(msgspec.Struct, frozen=True, tag="jk"):
    """Progress of an attempt that a later attempt may resume from."""

    job_id: str
    attempt: int
    checkpoint: str


class JobReleased(msgspec.Struct, frozen=True, tag="jr"):
    """An attempt is over for sure and the job goes back to the queue."""

    job_id: str
    attempt: int
    term: int
    reason: str
    checkpoint: str
    failed: bool


class JobFinished(msgspec.Struct, frozen=True, tag="jf"):
    """An attempt finished the job."""

    job_id: str
    attempt: int
    term: int


class JobRejected(msgspec.Struct, frozen=True, tag="jx"):
    """A queued job can never run, for the reason given."""

    job_id: str
    reason: str


class JobCancelled(msgspec.Struct, frozen=True, tag="jd"):
    """Its team cancelled the job."""

    job_id: str


class KeyClaimed(msgspec.Struct, frozen=True, tag="kc"):
    """A request's idempotency key, claimed before the request runs."""

    customer: str
    route: str
    key: str
    claimant: str


class KeyReleased(msgspec.Struct, frozen=True, tag="kr"):
    """The claimed request did not run; the key may be claimed again."""

    customer: str
    route: str
    key: str
    claimant: str


class RouteEdited(msgspec.Struct, frozen=True, tag="re"):
    """An edit of a route against the row version it was made against."""

    name: str
    expected_version: int
    edit_id: str
    operator: str
    row: Route | None


class PoolEdited(msgspec.Struct, frozen=True, tag="pe"):
    """An edit of a pool against the row version it was made against."""

    name: str
    expected_version: int
    edit_id: str
    operator: str
    row: Pool | None


class SnapshotChunk(msgspec.Struct, frozen=True, tag="sc"):
    """One part of a snapshot of the state at ``next_offset``."""

    snapshot_id: str
    index: int
    total: int
    next_offset: int
    payload: bytes


Record = (
    EntryRenewed
    | EntryLapsed
    | EntryLeft
    | VmAdopted
    | VmLost
    | JobSubmitted
    | JobClaimed
    | JobCheckpointed
    | JobReleased
    | JobFinished
    | JobRejected
    | JobCancelled
    | KeyClaimed
    | KeyReleased
    | RouteEdited
    | PoolEdited
    | SnapshotChunk
)


class AppendBatch(msgspec.Struct, frozen=True, array_like=True):
    """The unit of an append.

    Attributes
    ----------
    writer : str
        Name and incarnation of the process that appends.
    sequence : int
        Rises by one with each batch of the writer. A batch that is in the
        log twice is applied once, because its second copy does not rise.
    records : list of Record
        Applied in order.
    """

    writer: str
    sequence: int
    records: list[Record]
