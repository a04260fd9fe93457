"""The commands of a table, the same for both tables."""

from __future__ import annotations

from typing import Annotated
from typing import TYPE_CHECKING

import typer

from yuccapoint.console import exit_codes
from yuccapoint.console import table_commands
from yuccapoint.console.entry_client import EntryClient
from yuccapoint.console.options import DEFAULT_ENTRY
from yuccapoint.console.options import EditId
from yuccapoint.console.options import Entry
from yuccapoint.console.options import Token
from yuccapoint.process.operator_messages import EditBody
from yuccapoint.version.pool import Pool
from yuccapoint.version.route import Route

if TYPE_CHECKING:
    from yuccapoint.process.operator_messages import PoolView
    from yuccapoint.process.operator_messages import RouteView

Name = Annotated[str, typer.Argument(help="Name of the row.")]
Changes = Annotated[
    list[str], typer.Argument(help="Fields to set, as field=value.")
]
Wait = Annotated[
    bool,
    typer.Option(
        "--wait", help="Wait until the version is in force everywhere."
    ),
]
ExpectedVersion = Annotated[
    int,
    typer.Option(help="Row version that the edit is based on; -1: newest."),
]
EditIdArgument = Annotated[str, typer.Argument(help="Id of the edit.")]
ROW_CLASSES: dict[str, type[Route] | type[Pool]] = {
    "route": Route,
    "pool": Pool,
}


def table_application(row_kind: str) -> typer.Typer:
    """Build the commands of a table.

    Parameters
    ----------
    row_kind : str
        Kind of the rows, ``route`` or ``pool``.

    Returns
    -------
    typer.Typer
        Commands that list, show, set and remove rows.
    """
    table = f"{row_kind}s"
    application = typer.Typer(
        help=f"List, show, set and remove {table}.",
        no_args_is_help=True,
        rich_markup_mode=None,
    )
    _add_read_commands(application, row_kind, table)
    _add_edit_commands(application, row_kind, table)
    return application


def _add_read_commands(
    application: typer.Typer, row_kind: str, table: str
) -> None:
    @application.command(
        "list",
        help=f"List all {table} as JSON lines.",
        epilog=exit_codes.HELP,
    )
    def list_rows(entry: Entry = DEFAULT_ENTRY, token: Token = "") -> None:
        table_commands.print_rows(EntryClient(entry, token), table, "")

    @application.command(
        "show",
        help=f"Show one {row_kind} and the version that wrote it.",
        epilog=exit_codes.HELP,
    )
    def show(
        name: Name, entry: Entry = DEFAULT_ENTRY, token: Token = ""
    ) -> None:
        table_commands.print_rows(EntryClient(entry, token), table, name)

    @application.command(
        "fate",
        help="Show the outcome of an edit whose response was lost.",
        epilog=exit_codes.HELP,
    )
    def fate(
        edit_id: EditIdArgument,
        entry: Entry = DEFAULT_ENTRY,
        token: Token = "",
    ) -> None:
        table_commands.print_edit_outcome(EntryClient(entry, token), edit_id)


def _add_edit_commands(
    application: typer.Typer, row_kind: str, table: str
) -> None:
    @application.command(
        "set",
        help=f"Set fields of a {row_kind} or add it. "
        "Field names contain the units.",
        epilog=exit_codes.HELP,
    )
    def set_row(
        name: Name,
        changes: Changes,
        against: ExpectedVersion = -1,
        wait: Wait = False,
        edit_id: EditId = "",
        entry: Entry = DEFAULT_ENTRY,
        token: Token = "",
    ) -> None:
        client = EntryClient(entry, token)
        current = _find_row(client, table, name)
        row = table_commands.apply_changes(
            ROW_CLASSES[row_kind],
            name,
            current.row if current else None,
            changes,
        )
        body = _edit_body(edit_id, against, current, row)
        table_commands.send_edit(client, table, name, body, wait=wait)

    @application.command(
        "remove", help=f"Remove a {row_kind}.", epilog=exit_codes.HELP
    )
    def remove(
        name: Name,
        against: ExpectedVersion = -1,
        wait: Wait = False,
        edit_id: EditId = "",
        entry: Entry = DEFAULT_ENTRY,
        token: Token = "",
    ) -> None:
        client = EntryClient(entry, token)
        current = _find_row(client, table, name)
        body = _edit_body(edit_id, against, current, None)
        table_commands.send_edit(client, table, name, body, wait=wait)


def _find_row(
    client: EntryClient, table: str, name: str
) -> RouteView | PoolView | None:
    for view in table_commands.fetch_rows(client, table):
        if view.row.name == name:
            return view
    return None


def _edit_body(
    edit_id: str,
    against: int,
    current: RouteView | PoolView | None,
    row: Route | Pool | None,
) -> EditBody:
    version = current.version if current else 0
    return EditBody(
        edit_id or table_commands.new_edit_id(),
        version if against < 0 else against,
        route=row if isinstance(row, Route) else None,
        pool=row if isinstance(row, Pool) else None,
    )
