"""Run a role of the users' platform: ``python -m yuccapoint.platform``."""

from __future__ import annotations

import asyncio

import typer

from yuccapoint.platform.roles import run_agent
from yuccapoint.platform.roles import run_entry

application = typer.Typer(
    name="yuccapoint.platform",
    help="Runs a role on the users' platform.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)


@application.command()
def entry() -> None:
    """Run an entry: accept jobs, and lead the cell when needed."""
    raise typer.Exit(asyncio.run(run_entry()))


@application.command()
def agent() -> None:
    """Run an agent: drive the worker of its VM."""
    raise typer.Exit(asyncio.run(run_agent()))


if __name__ == "__main__":
    application()
