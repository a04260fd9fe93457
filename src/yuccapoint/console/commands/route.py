"""``yuccapoint route``: list, show, set and remove routes."""

from __future__ import annotations

from typing import Annotated

import typer

from yuccapoint.console import exit_codes
from yuccapoint.console import table_commands
from yuccapoint.console.entry_client import EntryClient
from yuccapoint.console.options import DEFAULT_ENTRY
from yuccapoint.console.options import EditId
from yuccapoint.console.options import Entry
from yuccapoint.console.options import Token
from yuccapoint.process.operator_messages import EditBody
from yuccapoint.process.operator_messages import TablesView
from yuccapoint.version.route import Route

TABLE = "routes"
Name = Annotated[str, typer.Argument(help="Name of the route.")]
Wait = Annotated[
    bool,
    typer.Option(
        "--wait", help="Return when the version is in force everywhere."
    ),
]
Against = Annotated[
    int,
    typer.Option(help="Row version the edit is made against; -1: newest."),
]

application = typer.Typer(
    help="List, show, set and remove routes.",
    no_args_is_help=True,
    rich_markup_mode=None,
)


@application.command("list", epilog=exit_codes.HELP)
def list_rows(entry: Entry = DEFAULT_ENTRY, token: Token = "") -> None:
    """List all routes, a JSON line each."""
    table_commands.show_rows(EntryClient(entry, token), TABLE, "")


@application.command("show", epilog=exit_codes.HELP)
def show(name: Name, entry: Entry = DEFAULT_ENTRY, token: Token = "") -> None:
    """Show one route and the version that wrote it."""
    table_commands.show_rows(EntryClient(entry, token), TABLE, name)


@application.command("set", epilog=exit_codes.HELP)
def set_row(
    name: Name,
    changes: Annotated[
        list[str], typer.Argument(help="Fields to set, as field=value.")
    ],
    against: Against = -1,
    wait: Wait = False,
    edit_id: EditId = "",
    entry: Entry = DEFAULT_ENTRY,
    token: Token = "",
) -> None:
    """Set fields of a route, or make it. Units are in the fields' names."""
    client = EntryClient(entry, token)
    rows = client.call("GET", "/v1/tables", TablesView).routes
    known = next((view for view in rows if view.row.name == name), None)
    row = table_commands.edited_row(
        Route, name, known.row if known else None, changes
    )
    version = known.version if known else 0
    body = EditBody(
        edit_id or table_commands.new_edit_id(),
        version if against < 0 else against,
        route=row,
    )
    table_commands.send_edit(client, TABLE, name, body, wait=wait)


@application.command("remove", epilog=exit_codes.HELP)
def remove(
    name: Name,
    against: Against = -1,
    wait: Wait = False,
    edit_id: EditId = "",
    entry: Entry = DEFAULT_ENTRY,
    token: Token = "",
) -> None:
    """Remove a route."""
    client = EntryClient(entry, token)
    rows = client.call("GET", "/v1/tables", TablesView).routes
    known = next((view for view in rows if view.row.name == name), None)
    version = known.version if known else 0
    body = EditBody(
        edit_id or table_commands.new_edit_id(),
        version if against < 0 else against,
    )
    table_commands.send_edit(client, TABLE, name, body, wait=wait)


@application.command("fate", epilog=exit_codes.HELP)
def fate(
    edit_id: Annotated[str, typer.Argument(help="Id of the edit.")],
    entry: Entry = DEFAULT_ENTRY,
    token: Token = "",
) -> None:
    """Tell what became of an edit whose answer was lost."""
    table_commands.show_fate(EntryClient(entry, token), edit_id)
