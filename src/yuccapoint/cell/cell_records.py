"""The records of a cell and their keys.

A cell is one partition of a topic that keeps the newest record of each
key. Its prefix tells what a key names, so that one reader serves all.
"""

from __future__ import annotations

from typing import Any

import msgspec

from yuccapoint.cell.exceptions import DamagedRecordError
from yuccapoint.cell.occurrence_state import OccurrenceState
from yuccapoint.cell.submission import Submission
from yuccapoint.job.interference.pair_report import PairEstimate

SUBMISSION = "s:"
CANCELLATION = "c:"
PROGRESS = "p:"
MEMBER = "m:"
ENTRY = "e:"
LEADERSHIP = "leader"
PAIRS = "pairs"


class Leadership(msgspec.Struct, frozen=True, array_like=True):
    """Who leads the cell; written anew while it does.

    Attributes
    ----------
    term : int
        Rises with each change of the leader.
    entry : str
        Name of the leading entry.
    incarnation : int
        Start time of the entry in nanoseconds.
    renewal : int
        Counts the renewals of this term.
    resigned : bool
        Whether the leader stopped as planned.
    """

    term: int
    entry: str
    incarnation: int
    renewal: int = 0
    resigned: bool = False


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A VM's agent: where control messages reach it."""

    vm: str
    address: str
    incarnation: int


class EntryMember(msgspec.Struct, frozen=True, array_like=True):
    """An entry: where control messages reach it."""

    entry: str
    address: str
    incarnation: int


class Cancellation(msgspec.Struct, frozen=True, array_like=True):
    """A job that was cancelled by its submitter."""

    job_id: str
    at_ms: int


class StoredPairs(msgspec.Struct, frozen=True, array_like=True):
    """Which images disturb which, for the next leader."""

    pairs: tuple[PairEstimate, ...]


CellRecord = (
    Leadership
    | Member
    | EntryMember
    | Cancellation
    | Submission
    | OccurrenceState
    | StoredPairs
)

_TYPES: dict[str, type[Any]] = {
    SUBMISSION: Submission,
    CANCELLATION: Cancellation,
    PROGRESS: OccurrenceState,
    MEMBER: Member,
    ENTRY: EntryMember,
}
_encoder = msgspec.msgpack.Encoder()
_decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {
    prefix: msgspec.msgpack.Decoder(kind) for prefix, kind in _TYPES.items()
}
_decoders[LEADERSHIP] = msgspec.msgpack.Decoder(Leadership)
_decoders[PAIRS] = msgspec.msgpack.Decoder(StoredPairs)


def progress_key(job_id: str, occurrence: int) -> str:
    """Give the key of an occurrence's state."""
    return f"{PROGRESS}{job_id}.{occurrence}"


def encode(record: CellRecord) -> bytes:
    """Encode the value of a record."""
    return _encoder.encode(record)


def decode(key: str, value: bytes) -> CellRecord:
    """Decode the value of a key.

    Raises
    ------
    DamagedRecordError
        The key or the value is not of this project.
    """
    decoder = _decoders.get(key) or _decoders.get(key[:2])
    if decoder is None:
        raise DamagedRecordError(f"no record has the key {key!r}")
    try:
        record: CellRecord = decoder.decode(value)
    except msgspec.DecodeError as error:
        raise DamagedRecordError(f"record {key!r}: {error}") from None
    return record
