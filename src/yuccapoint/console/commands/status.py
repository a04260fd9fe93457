"""``yuccapoint status``: show the state that an entry has."""

from __future__ import annotations

import msgspec
import typer

from yuccapoint.console import exit_codes
from yuccapoint.console.entry_client import EntryClient
from yuccapoint.console.options import DEFAULT_ENTRY
from yuccapoint.console.options import Entry
from yuccapoint.console.options import Json
from yuccapoint.console.options import Token
from yuccapoint.process.operator_messages import Status


def register(application: typer.Typer) -> None:
    """Add the command."""
    application.command("status", epilog=exit_codes.HELP)(status)


def status(
    json: Json = False, entry: Entry = DEFAULT_ENTRY, token: Token = ""
) -> None:
    """Show members, versions, leaders and endpoints."""
    view = EntryClient(entry, token).call("GET", "/v1/status", Status)
    if json:
        typer.echo(msgspec.json.encode(view).decode())
        return
    typer.echo(
        f"{view.entry}: tables version {view.tables_version}, log offset "
        f"{view.log_offset}, {view.log_fault or 'log answers'}, may lead "
        f"for {view.lead_left_s} s, {view.queued_jobs} jobs queued"
    )
    for member in view.entries:
        typer.echo(
            f"entry {member.entry} in {member.data_centre}: "
            f"tables version {member.tables_version}"
        )
    for vm in view.vms:
        typer.echo(
            f"VM {vm.vm}: led by {vm.leader or 'nobody'}, tables version "
            f"{vm.tables_version}, {vm.tasks} tasks, {vm.free_millicores} "
            f"millicores free, last report {vm.silent_s} s ago"
        )
    for endpoint in view.endpoints:
        typer.echo(
            f"endpoint {endpoint.endpoint} of {endpoint.service}: "
            f"{endpoint.state}, load {endpoint.load}, "
            f"failing {endpoint.failure_rate}"
        )
