"""``yuccapoint jobs``: list batch jobs."""

from __future__ import annotations

import msgspec
import typer

from yuccapoint.console import exit_codes
from yuccapoint.console.entry_client import EntryClient
from yuccapoint.console.options import DEFAULT_ENTRY
from yuccapoint.console.options import Entry
from yuccapoint.console.options import Json
from yuccapoint.console.options import Token
from yuccapoint.process.operator_messages import JobView


def register(application: typer.Typer) -> None:
    """Add the command."""
    application.command("jobs", epilog=exit_codes.HELP)(jobs)


def jobs(
    json: Json = False, entry: Entry = DEFAULT_ENTRY, token: Token = ""
) -> None:
    """List the jobs with their states and last steps."""
    views = EntryClient(entry, token).call("GET", "/v1/jobs", list[JobView])
    for view in views:
        if json:
            typer.echo(msgspec.json.encode(view).decode())
            continue
        place = view.vm or "-"
        typer.echo(
            f"{view.job_id} {view.state} team={view.team} "
            f"attempt={view.attempt} vm={place}: {view.steps[-1].text}"
        )
