"""``yuccapoint bench``: measure decision logic and request path."""

from __future__ import annotations

import pathlib
from typing import Annotated

import msgspec
import typer

from yuccapoint.bench.registry import BENCHES
from yuccapoint.console import exit_codes
from yuccapoint.console.exceptions import CommandError

DEPLOYMENTS = ("caribfert", "cyfiawn")


def register(application: typer.Typer) -> None:
    """Add the command."""
    application.command("bench", epilog=exit_codes.HELP)(bench)


def bench(
    name: Annotated[str, typer.Argument(help="Name of the bench.")],
    deployment: Annotated[
        str, typer.Option(help="caribfert or cyfiawn.")
    ] = "caribfert",
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
    out: Annotated[
        str, typer.Option(help="File to write the JSON line to.")
    ] = "",
) -> None:
    """Run a bench; the last line of output is one JSON object."""
    import yuccapoint.bench.all  # noqa: F401

    measure = BENCHES.get(name)
    if measure is None:
        known = ", ".join(sorted(BENCHES))
        raise CommandError(f"there is no bench {name}; known: {known}")
    if deployment not in DEPLOYMENTS:
        known = ", ".join(DEPLOYMENTS)
        raise CommandError(
            f"there is no deployment {deployment}; known: {known}"
        )
    line = msgspec.json.encode(measure(deployment, seed)).decode()
    if out:
        pathlib.Path(out).write_text(line + "\n", "utf-8")
    typer.echo(line)
