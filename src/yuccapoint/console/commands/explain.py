"""``yuccapoint explain``: explain the placement of a job or request."""

from __future__ import annotations

import datetime
import pathlib  # noqa: TC003
from typing import Annotated
from typing import Any

import msgspec
import typer

from yuccapoint.console import exit_codes
from yuccapoint.console.entry_client import EntryClient
from yuccapoint.console.options import DEFAULT_ENTRY
from yuccapoint.console.options import Entry
from yuccapoint.console.options import Json
from yuccapoint.console.options import Token
from yuccapoint.console.saved_logs import read_log_history
from yuccapoint.process.operator_messages import DecisionView
from yuccapoint.process.operator_messages import Explanation
from yuccapoint.process.operator_messages import RequestExplanation
from yuccapoint.process.process_logger import format_message


def register(application: typer.Typer) -> None:
    """Add the command."""
    application.command("explain", epilog=exit_codes.HELP)(explain)


def explain(
    name: Annotated[str, typer.Argument(help="Id of the job or request.")],
    request: Annotated[
        bool, typer.Option("--request", help="The id is that of a request.")
    ] = False,
    logs: Annotated[
        list[pathlib.Path] | None,
        typer.Option(
            "--logs",
            help="Saved output of a process; repeat for more. No entry is "
            "called then.",
        ),
    ] = None,
    json: Json = False,
    entry: Entry = DEFAULT_ENTRY,
    token: Token = "",
) -> None:
    """Explain where a job or request was placed, or why a job waits."""
    if logs:
        _print_history(read_log_history(logs, name), json=json)
        return
    if request:
        _print_request_explanation(EntryClient(entry, token), name, json=json)
        return
    path = f"/v1/jobs/{name}"
    explanation = EntryClient(entry, token).call("GET", path, Explanation)
    if json:
        typer.echo(msgspec.json.encode(explanation).decode())
        return
    typer.echo(
        f"{explanation.job.job_id} {explanation.job.state}: {explanation.why}"
    )
    for step in explanation.job.steps:
        typer.echo(f"  {step.at_ms} {step.text}")
    _print_decisions(explanation.decisions)


def _print_history(history: list[dict[str, Any]], *, json: bool) -> None:
    if json:
        typer.echo(msgspec.json.encode(history).decode())
        return
    if not history:
        typer.echo("no log line mentions the id")
        raise typer.Exit(exit_codes.REFUSED)
    for message in history:
        at = datetime.datetime.fromtimestamp(
            message.get("timestamp", 0.0), datetime.UTC
        )
        typer.echo(f"{at:%H:%M:%S.%f} {format_message(message)}")


def _print_request_explanation(
    client: EntryClient, name: str, *, json: bool
) -> None:
    path = f"/v1/requests/{name}"
    explanation = client.call("GET", path, RequestExplanation)
    if json:
        typer.echo(msgspec.json.encode(explanation).decode())
        return
    typer.echo(explanation.request_id)
    _print_decisions(explanation.decisions)


def _print_decisions(decisions: list[DecisionView]) -> None:
    for decision in decisions:
        fields = ", ".join(f"{k}={v}" for k, v in decision.fields.items())
        typer.echo(f"  {decision.part}: {decision.text} ({fields})")
