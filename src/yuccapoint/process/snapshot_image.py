"""Serialisation of a cell's state into slices, and back.

A part of the state is an object whose attributes are plain values,
containers, nested parts or one of ``SLOT_CLASSES``. Callables are skipped,
as are the attributes that the part's class lists in ``derived_state``; the
class has to recompute those in ``rebuild()``.
"""

from __future__ import annotations

import collections
import itertools
import operator
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from yuccapoint.decoding import decode
from yuccapoint.exceptions import DecodingError
from yuccapoint.exceptions import YuccapointError
from yuccapoint.job.job import Job
from yuccapoint.job.job_entry import JobEntry
from yuccapoint.job.job_entry import JobState
from yuccapoint.job.job_entry import JobStep
from yuccapoint.job.vm_leadership import VmLeadership
from yuccapoint.request.key_claims import KeyClaim
from yuccapoint.request.key_owners import Membership
from yuccapoint.version.pool import Pool
from yuccapoint.version.route import Route
from yuccapoint.version.table_row import TableRow
from yuccapoint.version.tables import EditOutcome

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

ITEMS_PER_SLICE = 200
SLOT_CLASSES: dict[str, type] = {
    kind.__name__: kind
    for kind in (
        EditOutcome,
        JobEntry,
        JobStep,
        KeyClaim,
        Membership,
        TableRow,
        VmLeadership,
    )
}
STRUCT_CLASSES: dict[str, type] = {
    kind.__name__: kind for kind in (Job, JobState, Pool, Route)
}
# Types of slots that msgspec can't infer.
SLOT_KINDS: dict[tuple[str, str], str] = {
    ("JobEntry", "job"): "Job",
    ("JobEntry", "state"): "JobState",
    ("JobEntry", "steps"): "list JobStep",
    ("VmLeadership", "job_ids"): "set",
}
ROW_KINDS = {"routes": "Route", "pools": "Pool"}
JOBS_ATTRIBUTE = "jobs"
CONTAINERS = (dict, list, set, collections.deque)


class SnapshotDamagedError(YuccapointError):
    """A snapshot can't be written, or its bytes are invalid."""


class StateSlice(msgspec.Struct, frozen=True, array_like=True):
    """Some items of one attribute of the state.

    Attributes
    ----------
    path : str
        Dotted path of attribute names to the attribute.
    kind : str
        ``value``, or the kind of the container.
    item : str
        Class of the items; empty for plain values, ``JobRef`` for jobs
        referenced by id.
    items : object
        The value, or a list of the container's items.
    """

    path: str
    kind: str
    item: str
    items: msgspec.Raw


_GETTERS = {
    name: operator.attrgetter(*kind.__slots__)  # type: ignore[attr-defined]
    for name, kind in SLOT_CLASSES.items()
}


def _encode_object(value: object) -> object:
    getter = _GETTERS.get(type(value).__name__)
    if getter is not None:
        found = getter(value)
        if isinstance(value, VmLeadership):
            return [sorted(x) if isinstance(x, set) else x for x in found]
        return found
    raise SnapshotDamagedError(f"can't encode a {type(value).__name__}")


_ENCODER = msgspec.msgpack.Encoder(enc_hook=_encode_object)
_SLICE_DECODER = msgspec.msgpack.Decoder(StateSlice)
_ITEMS_DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder()


# What decoded values of other types than expected lead to.
_DAMAGE = (
    DecodingError,
    msgspec.ValidationError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)


def encode_slices(path: str, part: object) -> Iterator[bytes]:
    """Encode a part of the state, slice by slice.

    The state must not change between the first slice and the last.

    Raises
    ------
    SnapshotDamagedError
        The part holds an object of an unknown class.
    """
    for name, value in _attributes(part):
        attribute_path = f"{path}.{name}"
        if isinstance(value, CONTAINERS):
            yield from _container(attribute_path, value)
        elif hasattr(value, "__dict__"):
            yield from encode_slices(attribute_path, value)
        else:
            raw = msgspec.Raw(_ENCODER.encode(value))
            yield _ENCODER.encode(StateSlice(attribute_path, "value", "", raw))


def restore(path: str, part: object, encoded: Iterable[bytes]) -> None:
    """Restore a part of the state from slices.

    Raises
    ------
    SnapshotDamagedError
        The bytes are invalid.
    """
    _clear(part)
    jobs: dict[str, JobEntry] = {}
    try:
        for data in encoded:
            encoded_slice = decode(_SLICE_DECODER, data)
            if encoded_slice.path.startswith(path + "."):
                _apply_slice(part, encoded_slice, path, jobs)
    except _DAMAGE as error:
        raise SnapshotDamagedError(f"damaged snapshot: {error!r}") from None
    _rebuild(part)


def _attributes(part: object) -> Iterator[tuple[str, Any]]:
    derived: frozenset[str] = getattr(part, "derived_state", frozenset())
    for name, value in vars(part).items():
        if name not in derived and not callable(value):
            yield name, value


def replace_state(part: object, other: object) -> None:
    """Replace a part's state by that of another part of the same class.

    Containers are updated in place, as other objects hold references.
    """
    found = dict(_attributes(other))
    for name, value in _attributes(part):
        if isinstance(value, CONTAINERS):
            value.clear()
            holder: Any = value
            fill = getattr(holder, "update", None) or holder.extend
            fill(found[name])
        elif hasattr(value, "__dict__"):
            replace_state(value, found[name])
        else:
            setattr(part, name, found[name])
    rebuild = getattr(part, "rebuild", None)
    if rebuild is not None:
        rebuild()


def _container(path: str, value: Any) -> Iterator[bytes]:
    kind = type(value).__name__
    item = _item_kind(path, value)
    found = value
    if isinstance(value, dict):
        found = value if item == "JobRef" else value.items()
    elif isinstance(value, set):
        found = sorted(value)
    left = iter(found)
    while True:
        batch = list(itertools.islice(left, ITEMS_PER_SLICE))
        if not batch:
            return
        raw = msgspec.Raw(_ENCODER.encode(batch))
        yield _ENCODER.encode(StateSlice(path, kind, item, raw))


def _item_kind(path: str, value: object) -> str:
    if not isinstance(value, dict) or not value:
        return ""
    first = next(iter(value.values()))
    if isinstance(first, list):
        found = next((items for items in value.values() if items), [""])
        inner = type(found[0]).__name__
        return f"list {inner}" if inner in SLOT_CLASSES else ""
    name = type(first).__name__
    if name == "JobEntry" and not path.endswith("." + JOBS_ATTRIBUTE):
        return "JobRef"
    if name in SLOT_CLASSES or name in STRUCT_CLASSES:
        return name
    return ""


def _clear(part: object) -> None:
    for _, value in _attributes(part):
        if isinstance(value, CONTAINERS):
            value.clear()
        elif hasattr(value, "__dict__"):
            _clear(value)


def _rebuild(part: object) -> None:
    for value in vars(part).values():
        if hasattr(value, "__dict__") and not callable(value):
            _rebuild(value)
    rebuild = getattr(part, "rebuild", None)
    if rebuild is not None:
        rebuild()


def _apply_slice(
    part: object,
    encoded_slice: StateSlice,
    path: str,
    jobs: dict[str, JobEntry],
) -> None:
    *nested, name = encoded_slice.path[len(path) + 1 :].split(".")
    for step in nested:
        part = getattr(part, step)
    items = decode(_ITEMS_DECODER, encoded_slice.items)
    if encoded_slice.kind == "value":
        setattr(part, name, items)
        return
    target = getattr(part, name)
    if encoded_slice.kind == "set":
        target.update(items)
        return
    if encoded_slice.kind != "dict":
        target.extend(items)
        return
    if encoded_slice.item == "JobRef":
        target.update((job_id, jobs[job_id]) for job_id in items)
        return
    decoded: dict[object, object] = {}
    for found, value in items:
        key = tuple(found) if isinstance(found, list) else found
        if encoded_slice.item.startswith("list "):
            decoded[key] = _decode_nested(encoded_slice.item, value)
            continue
        decoded[key] = _decode_item(encoded_slice.item, value, name)
    target.update(decoded)
    if encoded_slice.item == "JobEntry":
        jobs.update(decoded)  # type: ignore[arg-type]


def _decode_item(kind: str, value: Any, attribute: str) -> object:
    if not kind:
        return value
    if kind in STRUCT_CLASSES:
        return msgspec.convert(value, STRUCT_CLASSES[kind])
    found: Any = SLOT_CLASSES[kind]
    decoded = found.__new__(found)
    for slot, content in zip(found.__slots__, value, strict=True):
        inner = SLOT_KINDS.get((kind, slot), "")
        if kind == "TableRow" and slot == "row":
            inner = ROW_KINDS[attribute]
        setattr(
            decoded, slot, _decode_nested(inner, content) if inner else content
        )
    return decoded


def _decode_nested(kind: str, content: Any) -> object:
    if kind == "set":
        return set(content)
    if kind.startswith("list "):
        name = kind.partition(" ")[2]
        return [_decode_item(name, item, "") for item in content]
    return _decode_item(kind, content, "")
