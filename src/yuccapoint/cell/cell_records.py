"""Stored records of a cell and their keys.

A cell is one partition of a topic that keeps the newest record of each
key. The prefix of a key gives the type of its record, so that one reader
handles all of them.
"""

from __future__ import annotations

from typing import Any

import msgspec
import xxhash

from yuccapoint import decoding
from yuccapoint.cell.entry_capacity import EntryCapacity
from yuccapoint.cell.exceptions import DamagedRecordError
from yuccapoint.cell.occurrence_state import OccurrenceState
from yuccapoint.cell.queue_address import QueueAddress
from yuccapoint.cell.queue_rules import QueueRules
from yuccapoint.cell.submission import Submission
from yuccapoint.exceptions import DecodingError
from yuccapoint.job.interference.pair_report import PairEstimate

SUBMISSION = "s:"
CANCELLATION = "c:"
PROGRESS = "p:"
QUEUE = "q:"
MEMBER = "m:"
ENTRY = "e:"
LEADERSHIP = "leader"
PAIRS = "pairs"


class Leadership(msgspec.Struct, frozen=True, array_like=True):
    """The leader of the cell; written again with each renewal.

    Attributes
    ----------
    term : int
        Increases with each change of the leader.
    entry : str
        Name of the leading entry.
    incarnation : int
        Start time of the entry in nanoseconds.
    renewal : int
        Number of renewals in this term.
    resigned : bool
        Whether any entry may take over at once. The leader has stopped, or
        leads on until then, as it reads no records.
    silent_vms : tuple or None
        Names of VMs that get no lease before a later renewal is stored, each
        with the time in milliseconds after which the leases granted so far
        have expired. None in records of earlier builds, whose leaders also
        grant leases for some time after other records.
    """

    term: int
    entry: str
    incarnation: int
    renewal: int = 0
    resigned: bool = False
    silent_vms: tuple[tuple[str, int], ...] | None = None


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Address of a VM's agent for control messages."""

    vm: str
    address: str
    incarnation: int


class EntryMember(msgspec.Struct, frozen=True, array_like=True):
    """Address of an entry for control messages, and what it can carry.

    Attributes
    ----------
    capacity : EntryCapacity
        Not known in records of earlier builds.
    """

    entry: str
    address: str
    incarnation: int
    capacity: EntryCapacity = EntryCapacity()


class Cancellation(msgspec.Struct, frozen=True, array_like=True):
    """Cancellation of a job by its submitter.

    Attributes
    ----------
    job_id : str
        The job.
    at_ms : int
        Wall-clock time of the cancellation.
    address : QueueAddress or None
        Where the cancellation of a job that was not stored was sent to; None
        if the job was known and its queue compared.
    route : str
        Name of the route there; empty without an address.
    """

    job_id: str
    at_ms: int
    address: QueueAddress | None = None
    route: str = ""

    def cancels(self, submission: Submission) -> bool:
        """Return whether a job with this id is the cancelled one.

        Only stored fields are compared, so that each entry and each later
        leader comes to the same result.
        """
        if self.address is None:
            return True
        if submission.address is None:
            return self.route == submission.queue.route
        return self.address == submission.address


class StoredQueue(msgspec.Struct, frozen=True, array_like=True):
    """A queue of stored jobs by the newest config that a leader used.

    Attributes
    ----------
    address : QueueAddress or None
        Where the queue was in that config; None for a queue that is known by
        its name only, from records of earlier builds.
    config_version : int
        Version of the config.
    rules : QueueRules
        Rules of the queue in that config.
    """

    address: QueueAddress | None
    config_version: int
    rules: QueueRules


class StoredPairs(msgspec.Struct, frozen=True, array_like=True):
    """Interference estimates that a new leader starts from."""

    pairs: tuple[PairEstimate, ...]


CellRecord = (
    Leadership
    | Member
    | EntryMember
    | Cancellation
    | Submission
    | OccurrenceState
    | StoredPairs
    | StoredQueue
)

_TYPES: dict[str, type[Any]] = {
    SUBMISSION: Submission,
    CANCELLATION: Cancellation,
    PROGRESS: OccurrenceState,
    QUEUE: StoredQueue,
    MEMBER: Member,
    ENTRY: EntryMember,
}
_encoder = msgspec.msgpack.Encoder()
_decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {
    prefix: msgspec.msgpack.Decoder(kind) for prefix, kind in _TYPES.items()
}
_decoders[LEADERSHIP] = msgspec.msgpack.Decoder(Leadership)
_decoders[PAIRS] = msgspec.msgpack.Decoder(StoredPairs)


def early_cancellation_key(job_id: str, address: QueueAddress) -> str:
    """Return the key of a cancellation that came before its job.

    Callers of other queues can't overwrite it.
    """
    return f"{CANCELLATION}{job_id}.{_digest_of(address, '')}"


def queue_key(submission: Submission) -> str:
    """Return the key of the queue that a job was submitted to.

    It stays the same when the queue gets another address or name.
    """
    digest = _digest_of(submission.address, submission.queue.route)
    return f"{QUEUE}{digest}"


def _digest_of(address: QueueAddress | None, route: str) -> str:
    """Return a digest, as a key of the store has 255 bytes at most."""
    host, path_prefix = "", ""
    if address is not None:
        host, path_prefix = address.host, address.path_prefix
    name = f"{host}\0{path_prefix}\0{route}"
    return xxhash.xxh3_64_hexdigest(name.encode())


def progress_key(job_id: str, occurrence: int) -> str:
    """Return the key of an occurrence's state."""
    return f"{PROGRESS}{job_id}.{occurrence}"


def encode(record: CellRecord) -> bytes:
    """Encode the value of a record."""
    if isinstance(record, OccurrenceState) and not record.gang_failures:
        # Versions that did not store the later fields wrote these forms.
        fields = (record.outcome, record.instances, record.steps)
        if record.crashes:
            return _encoder.encode((*fields, record.begun, record.crashes))
        if not record.begun:
            return _encoder.encode(fields)
        return _encoder.encode((*fields, record.begun))
    return _encoder.encode(record)


def decode(key: str, value: bytes) -> CellRecord:
    """Decode the value of a key.

    Raises
    ------
    DamagedRecordError
        The key is not known or the value can't be decoded.
    """
    decoder = _decoders.get(key) or _decoders.get(key[:2])
    if decoder is None:
        raise DamagedRecordError(f"unknown record key {key!r}")
    try:
        record: CellRecord = decoding.decode(decoder, value)
    except DecodingError as error:
        raise DamagedRecordError(f"record {key!r}: {error}") from None
    return record
