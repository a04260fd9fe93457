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
    found = EntryClient(entry, token).call("GET", "/v1/status", Status)
    if json:
        typer.echo(msgspec.json.encode(found).decode())
        return
    typer.echo(
        f"{found.entry}: tables version {found.tables_version}, log offset "
        f"{found.log_offset}, {found.log_fault or 'log answers'}, may lead "
        f"for {found.lead_left_s} s, {found.queued_jobs} jobs queued"
    )
    for member in found.entries:
        typer.echo(
            f"entry {member.entry} in {member.data_centre}: "
            f"tables version {member.tables_version}"
        )
    for vm in found.vms:
        typer.echo(
            f"VM {vm.vm}: led by {vm.leader or 'nobody'}, tables version "
            f"{vm.tables_version}, {vm.tasks} tasks, {vm.free_millicores} "
            f"millicores free, last report {vm.silent_s} s ago"
        )
    for endpoint in found.endpoints:
        typer.echo(
            f"endpoint {endpoint.endpoint} of {endpoint.service}: "
            f"{endpoint.state}, load {endpoint.load}, "
            f"failing {endpoint.failure_rate}"
        )
