"""``yuccapoint check``: check settings and tables offline."""

from __future__ import annotations

from typing import Annotated

import typer

from yuccapoint.console import exit_codes
from yuccapoint.process.settings.checker import check_files


def register(application: typer.Typer) -> None:
    """Add the command."""
    application.command("check", epilog=exit_codes.HELP)(check)


def check(
    files: Annotated[
        list[str], typer.Argument(help="Settings (.ini) and tables (.json).")
    ],
) -> None:
    """Check settings and tables and list all errors."""
    errors = check_files(files)
    for error in errors:
        typer.echo(error, err=True)
    if errors:
        raise typer.Exit(exit_codes.REFUSED)
    typer.echo(f"{len(files)} files are valid")
