"""Options that several commands share."""

from __future__ import annotations

from typing import Annotated

import typer

Entry = Annotated[
    str,
    typer.Option(
        "--entry",
        envvar="YUCCAPOINT_ENTRY",
        help="Operators' address of an entry, as IP:PORT or an URL.",
    ),
]
Token = Annotated[
    str,
    typer.Option(
        "--token",
        envvar="YUCCAPOINT_TOKEN",
        help="Operator's token, if the entry asks for one.",
    ),
]
Json = Annotated[bool, typer.Option("--json", help="Print JSON, a line each.")]
EditId = Annotated[
    str,
    typer.Option(
        "--edit-id",
        help="Id of the edit; asking again with the same one is safe.",
    ),
]
DEFAULT_ENTRY = "127.0.0.1:7001"
