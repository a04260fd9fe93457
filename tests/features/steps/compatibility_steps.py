from __future__ import annotations

import base64
import importlib
import json
import pathlib
import pkgutil
from typing import Any
from typing import TYPE_CHECKING

from behave import then
from behave import when
import msgspec
import pydantic

from yuccapoint.cell import cell_records
from yuccapoint.cell.cell_messages import CellMessage
from yuccapoint.connection.messages import ControlMessage
from yuccapoint.job.records import AppendBatch
from yuccapoint.process import snapshot_image
from yuccapoint.process.cell_state import CellState
from yuccapoint.process.settings.sections import AgentSettings
from yuccapoint.process.settings.sections import EntrySettings
from yuccapoint.request.exceptions import ERRORS_BY_REASON

if TYPE_CHECKING:
    from collections.abc import Iterator
    from types import ModuleType

    from behave.runner import Context

# Written by the build of commit 8073b26; never written again.
BASELINE = (
    pathlib.Path(__file__)
    .parents[2]
    .joinpath("compatibility", "written_before.json")
)
TYPES: dict[str, Any] = {
    "cell_messages": CellMessage,
    "control_messages": ControlMessage,
    "log_records": AppendBatch,
}
# Fields that later builds have appended to a form, with the value that a
# record of the earlier build gets. Earlier builds skip them.
APPENDED: dict[tuple[str, str], list[Any]] = {
    ("cell_messages", "vm"): [0, 0],
    ("cell_records", "c:job"): [None, ""],
    ("cell_records", "e:entry"): [[0, 0]],
    ("cell_records", "leader"): [None],
    ("cell_records", "s:job"): [None, 0],
}

# Keys that this build reads beside those of a JSON body of the earlier one.
READ_KEYS: dict[tuple[str, ...], list[str]] = {
    ("DrainMs", "GraceS", "StopTimeoutMs", "status_s"): ["MaxHoldMs"],
    (
        "NodeName",
        "Ip",
        "Zone",
        "Region",
        "ListenAddrs",
        "PortRange",
        "platform",
        "Role",
        "Bounds",
        "Advisor",
        "app",
    ): ["Limits"],
}

# JSON bodies that this build reads and the earlier one didn't.
READ_BODIES: dict[str, list[list[str]]] = {
    "yuccapoint.platform": [["CpuShare", "Cores", "LinkMbps"]],
}


def _baseline(group: str) -> Any:
    return json.loads(BASELINE.read_text("utf-8"))[group]


def _decode(group: str, name: str, data: bytes) -> object:
    if group == "cell_records":
        return cell_records.decode(name, data)
    return msgspec.msgpack.decode(data, type=TYPES[group])


@when("a snapshot of the earlier build is restored and written again")
def restore_snapshot(context: Context) -> None:
    context.expected = [base64.b64decode(s) for s in _baseline("snapshot")]
    state = CellState()
    snapshot_image.restore("", state, context.expected)
    context.encoded = list(state.slices())


@then("its slices are those of the earlier build")
def same_slices(context: Context) -> None:
    assert len(context.expected) > 10
    assert context.encoded == context.expected


def _encode(group: str, record: object) -> bytes:
    if group == "cell_records":
        return cell_records.encode(record)
    return msgspec.msgpack.encode(record)


def _with_appended(group: str, name: str, data: bytes) -> bytes:
    """Return the form that an earlier record has in this build."""
    appended = APPENDED.get((group, name))
    if appended is None:
        return data
    return msgspec.msgpack.encode([*msgspec.msgpack.decode(data), *appended])


@when("each of the earlier build's {group} is decoded and encoded again")
def recode(context: Context, group: str) -> None:
    earlier = {
        name: base64.b64decode(data) for name, data in _baseline(group).items()
    }
    context.expected = {
        name: _with_appended(group, name, data)
        for name, data in earlier.items()
    }
    context.encoded = {
        name: _encode(group, _decode(group, name, data))
        for name, data in earlier.items()
    }


@then("the bytes are those of the earlier build, with the pinned additions")
def same_bytes(context: Context) -> None:
    assert context.expected
    assert context.encoded == context.expected


@then("each reason has the name, status and verdict of the earlier build")
def same_reasons(context: Context) -> None:
    del context
    found = {
        name: [kind.status, kind.verdict.value]
        for name, kind in ERRORS_BY_REASON.items()
    }
    assert found == _baseline("reasons")


@then("the JSON bodies have the fields of the earlier build")
def same_fields(context: Context) -> None:
    del context
    for name, expected in _baseline("json_fields").items():
        found = sorted(
            [field.encode_name for field in msgspec.structs.fields(kind)]
            for module in _modules(name)
            for kind in vars(module).values()
            if _is_struct_of(kind, module)
        )
        extended = [
            [*keys, *READ_KEYS.get(tuple(keys), [])] for keys in expected
        ]
        extended.extend(READ_BODIES.get(name, []))
        assert found == sorted(extended), name


@then("the settings have the sections and keys of the earlier build")
def same_settings(context: Context) -> None:
    del context
    found = {"entry": _keys(EntrySettings), "agent": _keys(AgentSettings)}
    assert found == _baseline("settings")


def _modules(name: str) -> Iterator[ModuleType]:
    module = importlib.import_module(name)
    yield module
    for found in pkgutil.iter_modules(getattr(module, "__path__", [])):
        if found.name != "__main__":
            yield importlib.import_module(f"{name}.{found.name}")


def _is_struct_of(kind: object, module: ModuleType) -> bool:
    return (
        isinstance(kind, type)
        and issubclass(kind, msgspec.Struct)
        and kind.__module__ == module.__name__
    )


def _keys(model: type[pydantic.BaseModel]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for name, field in model.model_fields.items():
        inner = field.annotation
        nested = isinstance(inner, type) and issubclass(
            inner, pydantic.BaseModel
        )
        found[field.alias or name] = _keys(inner) if nested else None
    return found
