"""``yuccapoint drain``: drain a VM."""

from __future__ import annotations

from typing import Annotated

import typer

from yuccapoint.console import exit_codes
from yuccapoint.console.entry_client import EntryClient
from yuccapoint.console.options import DEFAULT_ENTRY
from yuccapoint.console.options import Entry
from yuccapoint.console.options import Token
from yuccapoint.process.operator_messages import DrainAnswer


def register(application: typer.Typer) -> None:
    """Add the command."""
    application.command("drain", epilog=exit_codes.HELP)(drain)


def drain(
    vm: Annotated[str, typer.Argument(help="Name of the VM.")],
    entry: Entry = DEFAULT_ENTRY,
    token: Token = "",
) -> None:
    """Drain a VM: it gets no new work, tasks move, requests finish."""
    path = f"/v1/vms/{vm}/drain"
    answer = EntryClient(entry, token).call("POST", path, DrainAnswer)
    typer.echo(f"{answer.vm} was asked to drain")
