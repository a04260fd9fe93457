"""``yuccapoint demo``: run a whole deployment on loopback."""

from __future__ import annotations

import enum
from typing import Annotated

import typer

from yuccapoint.console import exit_codes


class Deployment(enum.Enum):
    """The deployments that can be run."""

    CARIBFERT = "caribfert"
    CYFIAWN = "cyfiawn"


def register(application: typer.Typer) -> None:
    """Add the command."""
    application.command("demo", epilog=exit_codes.HELP)(demo)


def demo(
    deployment: Annotated[
        Deployment, typer.Option(help="Deployment to run.")
    ] = Deployment.CARIBFERT,
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
) -> None:
    """Run a deployment with stand-ins on loopback for half a minute."""
    from yuccapoint_standins.demo import run_demo

    raise typer.Exit(run_demo(deployment.value, seed))
