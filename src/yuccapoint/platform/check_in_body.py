"""Bodies of the worker's check-ins."""

from __future__ import annotations

import re

import msgspec

from yuccapoint.cell.occurrence_state import WorkerInstance
from yuccapoint.cell.worker_events import CheckIn
from yuccapoint.connection.ip_endpoint import is_ipv4_endpoint
from yuccapoint.decoding import decode_json
from yuccapoint.exceptions import DecodingError
from yuccapoint.job.size import Size
from yuccapoint.platform.exceptions import MalformedMessageError
from yuccapoint.platform.job_body import MEBIBYTE

# Leaves room for memory in bytes within the 64 bits of a message.
MAX_NUMBER = 2**42
# Names and labels are sent to the leader with each report.
MAX_NAME_LENGTH = 255
MAX_LABELS = 64
# Part of a rejected value that an error shows.
SHOWN_LENGTH = 80
# The id is sent back to the worker in a header.
_WORKER_ID = re.compile(rf"[!-.0-~]{{1,{MAX_NAME_LENGTH}}}")


class _Capacity(msgspec.Struct, rename="pascal"):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _CheckIn(msgspec.Struct, rename="pascal", kw_only=True):
    # Name of the pool whose jobs the worker runs.
    service: str
    address: str
    state: str
    seq: int
    clock_ms: int
    capacity: _Capacity
    labels: list[str] = msgspec.field(default_factory=list)
    remaining_ms: int = 0
    # When the worker was started, in Unix milliseconds.
    born: int = msgspec.field(name="born")


def decode_check_in(vm: str, worker_id: str, body: bytes) -> CheckIn:
    """Decode a check-in.

    Raises
    ------
    MalformedMessageError
        The body is not valid JSON, lacks a field, has an unknown state, names
        no start time or has a value that can't be used.
    """
    try:
        wire = decode_json(body, _CheckIn)
    except DecodingError as error:
        raise MalformedMessageError(f"check-in is invalid: {error}") from None
    _check_texts(worker_id, wire)
    _check_numbers(wire)
    capacity = wire.capacity
    return CheckIn(
        instance=WorkerInstance(vm, worker_id, wire.born),
        pool=wire.service,
        address=wire.address,
        capacity=Size(capacity.cpu, capacity.mem_mb * MEBIBYTE, capacity.gpu),
        labels=tuple(wire.labels),
        draining=wire.state == "draining",
        remaining_ms=wire.remaining_ms,
        clock_ms=wire.clock_ms,
        sequence=wire.seq,
    )


def _check_texts(worker_id: str, wire: _CheckIn) -> None:
    if _WORKER_ID.fullmatch(worker_id) is None:
        raise _error("id", worker_id, "printable ASCII without a slash")
    if wire.state not in ("ready", "draining"):
        raise _error("State", wire.state, "ready or draining")
    if not _is_name(wire.service):
        raise _error("Service", wire.service, "a name")
    if not is_ipv4_endpoint(wire.address):
        raise _error("Address", wire.address, "an IPv4 address and port")
    if len(wire.labels) > MAX_LABELS:
        raise _error("Labels", wire.labels, f"at most {MAX_LABELS}")
    for label in wire.labels:
        if label and not _is_name(label):
            raise _error("Labels", label, "names")


def _check_numbers(wire: _CheckIn) -> None:
    numbers = {
        "born": (wire.born, 1),
        "Seq": (wire.seq, 0),
        "ClockMs": (wire.clock_ms, 0),
        # Less than none is left of a drain that takes longer than announced.
        "RemainingMs": (wire.remaining_ms, -MAX_NUMBER),
        "Cpu": (wire.capacity.cpu, 0),
        "MemMb": (wire.capacity.mem_mb, 0),
        "Gpu": (wire.capacity.gpu, 0),
    }
    for field, (value, lowest) in numbers.items():
        if not lowest <= value <= MAX_NUMBER:
            raise _error(field, value, f"a number from {lowest}")


def _is_name(text: str) -> bool:
    return 0 < len(text) <= MAX_NAME_LENGTH and text.isprintable()


def _error(field: str, value: object, expected: str) -> MalformedMessageError:
    shown = repr(value)
    if len(shown) > SHOWN_LENGTH:
        shown = f"{shown[:SHOWN_LENGTH]}..."
    return MalformedMessageError(
        f"check-in has {field} {shown}, expected {expected}"
    )
