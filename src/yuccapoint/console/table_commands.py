"""Functions that the commands of both tables share."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import TypeVar
import urllib.parse
import uuid

import msgspec
import typer

from yuccapoint.console.exceptions import CommandError
from yuccapoint.decoding import decode_json
from yuccapoint.exceptions import DecodingError
from yuccapoint.exceptions import YuccapointError
from yuccapoint.process.operator_messages import EditAnswer
from yuccapoint.process.operator_messages import EditBody
from yuccapoint.process.operator_messages import EditStatus
from yuccapoint.process.operator_messages import PoolView
from yuccapoint.process.operator_messages import RouteView
from yuccapoint.process.operator_messages import Status
from yuccapoint.process.operator_messages import TablesView
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    from yuccapoint.console.entry_client import EntryClient

RowT = TypeVar("RowT", bound=msgspec.Struct)
IN_FORCE_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.2


def fetch_rows(
    client: EntryClient, table: str
) -> list[RouteView] | list[PoolView]:
    """Fetch the rows of a table."""
    tables = client.call("GET", "/v1/tables", TablesView)
    return tables.routes if table == "routes" else tables.pools


def print_rows(client: EntryClient, table: str, name: str) -> None:
    """Print all rows, or only the named one, as JSON lines."""
    rows = fetch_rows(client, table)
    shown = [row for row in rows if not name or row.row.name == name]
    if name and not shown:
        raise CommandError(f"row {name} does not exist in {table}")
    for row in shown:
        typer.echo(msgspec.json.encode(row).decode())


def apply_changes(
    row_class: type[RowT],
    name: str,
    current: RowT | None,
    changes: list[str],
) -> RowT:
    """Apply ``field=value`` changes to a row or to a new one.

    Raises
    ------
    CommandError
        A change names an unknown field or has an invalid value.
    """
    values = {} if current is None else msgspec.to_builtins(current)
    values["name"] = name
    fields = {field.name for field in msgspec.structs.fields(row_class)}
    for change in changes:
        field, equals, text = change.partition("=")
        if not equals or field not in fields:
            raise CommandError(
                f"{change!r} is not a field=value pair of the row"
            )
        values[field] = _parse_value(text)
    try:
        return msgspec.convert(values, row_class, strict=False)
    except msgspec.ValidationError as error:
        raise CommandError(str(error)) from None


def send_edit(
    client: EntryClient, table: str, name: str, body: EditBody, *, wait: bool
) -> None:
    """Send an edit and print its version."""
    path = f"/v1/tables/{table}/{name}"
    try:
        answer = client.call("PUT", path, EditAnswer, body)
    except YuccapointError as error:
        if error.verdict is Verdict.NOT_RUN:
            raise
        row_kind = "route" if table == "routes" else "pool"
        raise CommandError(
            f"{error}; check with `yuccapoint {row_kind} fate {body.edit_id}`",
            error.verdict,
        ) from None
    for warning in answer.warnings:
        typer.echo(f"warning: {warning}", err=True)
    typer.echo(f"accepted as version {answer.version}")
    if wait:
        wait_until_in_force(client, answer.version)


def print_edit_outcome(client: EntryClient, edit_id: str) -> None:
    """Print the outcome of an edit.

    Raises
    ------
    CommandError
        The edit was refused or not accepted, or its outcome is unknown.
    """
    path = f"/v1/edits/{urllib.parse.quote(edit_id, safe='')}"
    fate = client.call("GET", path, EditStatus)
    if fate.fate == "accepted":
        typer.echo(f"accepted as version {fate.version}")
        return
    if fate.fate == "unknown":
        raise CommandError(
            "the outcome is still unknown; retry later", Verdict.MAY_HAVE_RUN
        )
    if fate.fate == "refused":
        raise CommandError(f"refused: {fate.refusal}")
    raise CommandError(
        f"not accepted: the log up to offset {fate.log_offset} does not "
        "contain the edit"
    )


def wait_until_in_force(client: EntryClient, version: int) -> None:
    """Wait until all known members use a version.

    Raises
    ------
    CommandError
        Some members lag; the message names them.
    """
    deadline_s = time.monotonic() + IN_FORCE_TIMEOUT_S
    while True:
        lagging = _lagging_members(client, version)
        if not lagging:
            typer.echo(f"version {version} is in force everywhere")
            return
        if time.monotonic() >= deadline_s:
            raise CommandError(f"members that lag: {', '.join(lagging)}")
        time.sleep(POLL_INTERVAL_S)


def new_edit_id() -> str:
    """Return an id under which the outcome of an edit can be queried."""
    return uuid.uuid4().hex


def _lagging_members(client: EntryClient, version: int) -> list[str]:
    status = client.call("GET", "/v1/status", Status)
    lagging = [
        entry.entry
        for entry in status.entries
        if entry.tables_version < version
    ]
    for vm in status.vms:
        if vm.tables_version < version:
            lagging.append(vm.vm)
    return lagging


def _parse_value(text: str) -> object:
    try:
        return decode_json(text.encode(), object)
    except DecodingError:
        return text
