"""Log lines: short sentences with a fixed prefix for each part."""

from __future__ import annotations

import sys
from typing import Any

import eliot
import msgspec

FIELDS_OF_ELIOT = (
    "task_uuid",
    "task_level",
    "timestamp",
    "message_type",
    "text",
    "process",
)


class Logs:
    """Writes the log lines of one process.

    Parameters
    ----------
    process : str
        Name of the process, on each line.
    """

    def __init__(self, process: str) -> None:
        self.process = process

    def say(
        self, part: str, text: str, **fields: str | float | list[str]
    ) -> None:
        """Write one line.

        Parameters
        ----------
        part : str
            The part's prefix, such as ``route`` or ``place``.
        text : str
            A short sentence.
        **fields
            What was weighed, with units in the names.
        """
        eliot.log_message(
            message_type=part, text=text, process=self.process, **fields
        )


def write_logs(form: str) -> None:
    """Send log lines to standard error as ``text`` or ``json``."""
    if form == "none":
        return
    write = _write_json if form == "json" else _write_text
    eliot.add_destinations(write)


def as_text(message: dict[str, Any]) -> str:
    """Render a message for a person."""
    fields = [
        f"{name}={value}"
        for name, value in message.items()
        if name not in FIELDS_OF_ELIOT
    ]
    line = f"{message.get('message_type')}: {message.get('text')}"
    if fields:
        line += f" ({', '.join(fields)})"
    return f"{message.get('process')} {line}"


def _write_text(message: dict[str, Any]) -> None:
    print(as_text(message), file=sys.stderr)


def _write_json(message: dict[str, Any]) -> None:
    line = msgspec.json.encode(message, enc_hook=str)
    sys.stderr.buffer.write(line + b"\n")
    sys.stderr.buffer.flush()
