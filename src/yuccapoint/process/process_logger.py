"""Structured log lines with a fixed prefix for each part."""

from __future__ import annotations

import sys
from typing import Any
from typing import TYPE_CHECKING

import eliot
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

ELIOT_FIELDS = (
    "task_uuid",
    "task_level",
    "timestamp",
    "message_type",
    "text",
    "process",
)


class ProcessLogger:
    """Writes the log lines of one process.

    Parameters
    ----------
    process : str
        Name of the process, included in each line.
    observe : callable, optional
        Called with the part, text and fields of each line.
    """

    def __init__(
        self,
        process: str,
        observe: Callable[[str, str, dict[str, Any]], None] | None = None,
    ) -> None:
        self.process = process
        self._observe = observe

    def log(
        self, part: str, text: str, **fields: str | float | list[str]
    ) -> None:
        """Write one log line.

        Parameters
        ----------
        part : str
            The part's prefix, such as ``route`` or ``place``.
        text : str
            What happened, in a few words.
        **fields
            Values behind the event or decision, with units in their names.
        """
        if self._observe is not None:
            self._observe(part, text, fields)
        eliot.log_message(
            message_type=part, text=text, process=self.process, **fields
        )


def configure_logging(form: str) -> None:
    """Send log lines to standard error as ``text`` or ``json``."""
    if form == "none":
        return
    write = _write_json if form == "json" else _write_text
    eliot.add_destinations(write)


def format_message(message: dict[str, Any]) -> str:
    """Format a log message as one readable line."""
    fields = [
        f"{name}={value}"
        for name, value in message.items()
        if name not in ELIOT_FIELDS
    ]
    line = f"{message.get('message_type')}: {message.get('text')}"
    if fields:
        line += f" ({', '.join(fields)})"
    return f"{message.get('process')} {line}"


def _write_text(message: dict[str, Any]) -> None:
    print(format_message(message), file=sys.stderr)


def _write_json(message: dict[str, Any]) -> None:
    line = msgspec.json.encode(message, enc_hook=str)
    sys.stderr.buffer.write(line + b"\n")
    sys.stderr.buffer.flush()
