"""``yuccapoint watch``: show decisions as they happen."""

from __future__ import annotations

from typing import Annotated

import typer

from yuccapoint.console import exit_codes
from yuccapoint.console.entry_client import EntryClient
from yuccapoint.console.options import DEFAULT_ENTRY
from yuccapoint.console.options import Entry
from yuccapoint.console.options import Json
from yuccapoint.console.options import Token
from yuccapoint.decoding import decode_json
from yuccapoint.exceptions import DecodingError
from yuccapoint.process.operator_messages import DecisionView


def register(application: typer.Typer) -> None:
    """Add the command."""
    application.command("watch", epilog=exit_codes.HELP)(watch)


def watch(
    where: Annotated[
        list[str] | None,
        typer.Option(
            help="Show only decisions with field=value, such as vm=a or "
            "part=guard."
        ),
    ] = None,
    json: Json = False,
    entry: Entry = DEFAULT_ENTRY,
    token: Token = "",
) -> None:
    """Show decisions as they happen, until interrupted."""
    incomplete_line = b""

    def on_data(data: bytes) -> None:
        nonlocal incomplete_line
        *lines, incomplete_line = (incomplete_line + data).split(b"\n")
        for line in lines:
            _print_if_matching(line, where or [], json=json)

    EntryClient(entry, token).stream("/v1/watch", on_data)


def _print_if_matching(line: bytes, where: list[str], *, json: bool) -> None:
    try:
        decision = decode_json(line, DecisionView)
    except DecodingError as error:
        typer.echo(f"skipped an invalid decision: {error}", err=True)
        return
    for condition in where:
        field, _, value = condition.partition("=")
        actual = decision.fields.get(field, "")
        if field == "part":
            actual = decision.part
        if str(actual) != value:
            return
    if json:
        typer.echo(line.decode())
        return
    fields = ", ".join(f"{k}={v}" for k, v in decision.fields.items())
    typer.echo(f"{decision.part}: {decision.text} ({fields})")
