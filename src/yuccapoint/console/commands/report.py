"""``yuccapoint report``: draw the report page of a run."""

from __future__ import annotations

from typing import Annotated

import typer

from yuccapoint.bench.run_page import draw_report
from yuccapoint.bench.run_records import RunRecords
from yuccapoint.console import exit_codes


def register(application: typer.Typer) -> None:
    """Add the command."""
    application.command("report", epilog=exit_codes.HELP)(report)


def report(
    files: Annotated[
        list[str],
        typer.Argument(help="JSON logs of processes, or output of benches."),
    ],
    out: Annotated[
        str, typer.Option(help="File to write: .png, .svg or .pdf.")
    ] = "report.png",
) -> None:
    """Draw latency, evictions, ratios, decisions and versions of a run."""
    records = RunRecords()
    for path in files:
        records.read_file(path)
    draw_report(records, out)
    typer.echo(
        f"{out}: {len(records.benches)} benches, "
        f"{records.log_line_count} log lines"
    )
