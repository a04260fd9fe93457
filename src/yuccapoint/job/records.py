"""Log records, from which every reader derives the same state."""

from __future__ import annotations

import msgspec

from yuccapoint.job.job import Job
from yuccapoint.version.pool import Pool
from yuccapoint.version.route import Route


class EntryRenewed(msgspec.Struct, frozen=True, tag="er"):
    """Renewal of an entry's long lease, counted from the record's stamp.

    ``control_address`` is the address at which others reach the entry.
    """

    entry: str
    control_address: str = ""


class EntryLapsed(msgspec.Struct, frozen=True, tag="el"):
    """Expiry of an entry's long lease; its VMs have no leader."""

    entry: str


class EntryLeft(msgspec.Struct, frozen=True, tag="eq"):
    """Planned stop of an entry, which grants no more leases."""

    entry: str


class VmAdopted(msgspec.Struct, frozen=True, tag="va"):
    """Start of an entry's leadership of a VM, under the agent's new term.

    ``incarnation`` is that of the agent, whose state is lost when it
    restarts.
    """

    vm: str
    term: int
    entry: str
    pool: str
    incarnation: int = 0


class VmLost(msgspec.Struct, frozen=True, tag="vl"):
    """Loss of a VM whose lease has expired; no attempt runs there."""

    vm: str
    term: int
    entry: str
    reason: str


class JobSubmitted(msgspec.Struct, frozen=True, tag="js"):
    """Submission of a job by a team."""

    job: Job


class JobClaimed(msgspec.Struct, frozen=True, tag="jc"):
    """Claim of a queued job's next attempt by the leader of a VM."""

    job_id: str
    attempt: int
    vm: str
    term: int
    entry: str
    reason: str


class JobCheckpointed(msgspec.Struct, frozen=True, tag="jk"):
    """Checkpoint of an attempt, from which a later one may resume."""

    job_id: str
    attempt: int
    checkpoint: str


class JobReleased(msgspec.Struct, frozen=True, tag="jr"):
    """Confirmed end of an attempt whose job returns to the queue."""

    job_id: str
    attempt: int
    term: int
    reason: str
    checkpoint: str
    failed: bool


class JobFinished(msgspec.Struct, frozen=True, tag="jf"):
    """Completion of a job by an attempt."""

    job_id: str
    attempt: int
    term: int


class JobRejected(msgspec.Struct, frozen=True, tag="jx"):
    """Rejection of a queued job that can never run."""

    job_id: str
    reason: str


class JobCancelled(msgspec.Struct, frozen=True, tag="jd"):
    """Cancellation of a job by its team."""

    job_id: str


class KeyClaimed(msgspec.Struct, frozen=True, tag="kc"):
    """Claim of an idempotency key, made before the request runs."""

    customer: str
    route: str
    key: str
    claimant: str


class KeyReleased(msgspec.Struct, frozen=True, tag="kr"):
    """Release of an idempotency key whose request did not run."""

    customer: str
    route: str
    key: str
    claimant: str


class RouteEdited(msgspec.Struct, frozen=True, tag="re"):
    """Edit of a route that applies to one version of its row."""

    name: str
    expected_version: int
    edit_id: str
    operator: str
    row: Route | None


class PoolEdited(msgspec.Struct, frozen=True, tag="pe"):
    """Edit of a pool that applies to one version of its row."""

    name: str
    expected_version: int
    edit_id: str
    operator: str
    row: Pool | None


class SnapshotChunk(msgspec.Struct, frozen=True, tag="sc"):
    """One chunk of a snapshot of the state at ``next_offset``."""

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
    """The records of one append, applied as a unit.

    Attributes
    ----------
    writer : str
        Name and incarnation of the appending process.
    sequence : int
        Incremented with each batch of the writer. A batch that is in the
        log twice is applied once, because the sequence of its second copy
        is not higher.
    records : list of Record
        Records in the order in which they are applied.
    """

    writer: str
    sequence: int
    records: list[Record]
