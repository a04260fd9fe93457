"""``yuccapoint submit``: submit a batch job."""

from __future__ import annotations

from typing import Annotated
import uuid

import typer

from yuccapoint.console import exit_codes
from yuccapoint.console.entry_client import EntryClient
from yuccapoint.console.options import DEFAULT_ENTRY
from yuccapoint.console.options import Entry
from yuccapoint.console.options import Token
from yuccapoint.job.job import Job
from yuccapoint.job.size import Size
from yuccapoint.process.operator_messages import JobView


def register(application: typer.Typer) -> None:
    """Add the command."""
    application.command("submit", epilog=exit_codes.HELP)(submit)


def submit(
    pool: Annotated[str, typer.Option(help="Pool whose VMs may run the job.")],
    team: Annotated[str, typer.Option(help="Team whose quota is charged.")],
    millicores: Annotated[int, typer.Option(help="Thousandths of a core.")],
    memory_bytes: Annotated[int, typer.Option(help="Memory in bytes.")] = 0,
    accelerators: Annotated[int, typer.Option(help="Accelerators.")] = 0,
    run_time_s: Annotated[
        float, typer.Option(help="Declared run time in seconds.")
    ] = 60.0,
    customer: Annotated[
        str, typer.Option(help="Customer that the job serves.")
    ] = "",
    job_class: Annotated[str, typer.Option(help="Class of the job.")] = "",
    command: Annotated[str, typer.Option(help="What the worker runs.")] = "",
    urgent: Annotated[
        bool, typer.Option(help="Schedule before jobs that are not urgent.")
    ] = False,
    job_id: Annotated[
        str,
        typer.Option(help="Id of the job; a retry with the same id is safe."),
    ] = "",
    entry: Entry = DEFAULT_ENTRY,
    token: Token = "",
) -> None:
    """Submit a job; it is accepted once it is in the log."""
    job = Job(
        job_id=job_id or f"job-{uuid.uuid4().hex[:12]}",
        team=team,
        customer=customer or team,
        job_class=job_class or "batch",
        pool=pool,
        size=Size(millicores, memory_bytes, accelerators),
        run_time_s=run_time_s,
        urgent=urgent,
        command=command,
    )
    view = EntryClient(entry, token).call("POST", "/v1/jobs", JobView, job)
    typer.echo(f"{view.job_id} {view.state}")
