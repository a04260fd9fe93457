"""``yuccapoint agent``: run the agent of a VM."""

from __future__ import annotations

from typing import Annotated

import typer

from yuccapoint.console import exit_codes
from yuccapoint.console.run_process import run
from yuccapoint.process.agent_process import AgentProcess
from yuccapoint.process.process_logger import configure_logging
from yuccapoint.process.settings.loader import load_agent_settings


def register(application: typer.Typer) -> None:
    """Add the command."""
    application.command("agent", epilog=exit_codes.HELP)(agent)


def agent(
    settings: Annotated[str, typer.Argument(help="INI file of the agent.")],
) -> None:
    """Run the agent of a VM until a signal drains it."""
    loaded = load_agent_settings(settings)
    configure_logging(loaded.logs.form)
    raise typer.Exit(run(AgentProcess, loaded))
