"""Options that several commands share."""

from __future__ import annotations

from typing import Annotated

import typer

Entry = Annotated[
    str,
    typer.Option(
        "--entry",
        envvar="YUCCAPOINT_ENTRY",
        help="Operator address of an entry, as IP:PORT or a URL.",
    ),
]
Token = Annotated[
    str,
    typer.Option(
        "--token",
        envvar="YUCCAPOINT_TOKEN",
        help="Operator's token, if the entry requires one.",
    ),
]
Json = Annotated[bool, typer.Option("--json", help="Print JSON lines.")]
EditId = Annotated[
    str,
    typer.Option(
        "--edit-id",
        help="Id of the edit; a retry with the same id is safe.",
    ),
]
DEFAULT_ENTRY = "127.0.0.1:7001"
