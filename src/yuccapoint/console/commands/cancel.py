"""``yuccapoint cancel``: cancel a batch job."""

from __future__ import annotations

from typing import Annotated

import typer

from yuccapoint.console import exit_codes
from yuccapoint.console.entry_client import EntryClient
from yuccapoint.console.options import DEFAULT_ENTRY
from yuccapoint.console.options import Entry
from yuccapoint.console.options import Token
from yuccapoint.process.operator_messages import JobView


def register(application: typer.Typer) -> None:
    """Add the command."""
    application.command("cancel", epilog=exit_codes.HELP)(cancel)


def cancel(
    job_id: Annotated[str, typer.Argument(help="Id of the job.")],
    entry: Entry = DEFAULT_ENTRY,
    token: Token = "",
) -> None:
    """Cancel a job; if it runs, it is stopped."""
    path = f"/v1/jobs/{job_id}"
    view = EntryClient(entry, token).call("DELETE", path, JobView)
    typer.echo(f"{view.job_id} {view.state}, cancellation accepted")
