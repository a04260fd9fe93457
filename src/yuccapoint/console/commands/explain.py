"""``yuccapoint explain``: say why a job is where it is."""

from __future__ import annotations

from typing import Annotated

import msgspec
import typer

from yuccapoint.console import exit_codes
from yuccapoint.console.entry_client import EntryClient
from yuccapoint.console.options import DEFAULT_ENTRY
from yuccapoint.console.options import Entry
from yuccapoint.console.options import Json
from yuccapoint.console.options import Token
from yuccapoint.process.operator_messages import Explanation


def register(application: typer.Typer) -> None:
    """Add the command."""
    application.command("explain", epilog=exit_codes.HELP)(explain)


def explain(
    job_id: Annotated[str, typer.Argument(help="Id of the job.")],
    json: Json = False,
    entry: Entry = DEFAULT_ENTRY,
    token: Token = "",
) -> None:
    """Say why a job went where it is, or why it waits."""
    path = f"/v1/jobs/{job_id}"
    found = EntryClient(entry, token).call("GET", path, Explanation)
    if json:
        typer.echo(msgspec.json.encode(found).decode())
        return
    typer.echo(f"{found.job.job_id} {found.job.state}: {found.why}")
    for step in found.job.steps:
        typer.echo(f"  {step.at_ms} {step.text}")
    for decision in found.decisions:
        fields = ", ".join(f"{k}={v}" for k, v in decision.fields.items())
        typer.echo(f"  {decision.part}: {decision.text} ({fields})")
