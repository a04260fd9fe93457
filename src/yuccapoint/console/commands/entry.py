"""``yuccapoint entry``: run an entry."""

from __future__ import annotations

from typing import Annotated

import typer

from yuccapoint.console import exit_codes
from yuccapoint.console.run_process import run
from yuccapoint.process.entry_process import EntryProcess
from yuccapoint.process.process_logger import configure_logging
from yuccapoint.process.settings.loader import load_entry_settings


def register(application: typer.Typer) -> None:
    """Add the command."""
    application.command("entry", epilog=exit_codes.HELP)(entry)


def entry(
    settings: Annotated[str, typer.Argument(help="INI file of the entry.")],
) -> None:
    """Run an entry until a signal drains it."""
    loaded = load_entry_settings(settings)
    configure_logging(loaded.logs.form)
    raise typer.Exit(run(EntryProcess, loaded))
