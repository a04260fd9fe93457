"""Merge saved log lines of many processes into the history of one id."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec

from yuccapoint.console.exceptions import SavedLogError
from yuccapoint.decoding import decode
from yuccapoint.exceptions import DecodingError

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    import pathlib

_decoder = msgspec.json.Decoder(dict[str, Any])


def read_log_history(
    paths: Iterable[pathlib.Path], name: str
) -> list[dict[str, Any]]:
    """Return all log lines that mention an id, in order of time.

    Parameters
    ----------
    paths : iterable of pathlib.Path
        Saved output of processes. Text before the JSON of a line and lines of
        other programs are skipped.
    name : str
        Id of a job, or of a task ``JOB.OCCURRENCE.STEP.INDEX``.

    Raises
    ------
    SavedLogError
        A file can't be read.
    """
    messages: dict[bytes, dict[str, Any]] = {}
    for path in paths:
        for line in _lines_containing(path, name.encode()):
            try:
                message = decode(_decoder, line)
            except DecodingError:
                continue
            if _mentions_id(message, name):
                # The same output may be passed twice.
                messages.setdefault(line, message)
    return sorted(messages.values(), key=lambda m: m.get("timestamp", 0.0))


def _lines_containing(path: pathlib.Path, needle: bytes) -> Iterator[bytes]:
    try:
        with path.open("rb") as lines:
            for line in lines:
                start = line.find(b"{")
                if start >= 0 and needle in line:
                    yield line[start:].strip()
    except OSError as error:
        raise SavedLogError(f"can't read {path}: {error}") from None


def _mentions_id(message: dict[str, Any], name: str) -> bool:
    for value in message.values():
        if not isinstance(value, str):
            continue
        # Keys of records have a prefix for their kind: "s:JOB".
        mentioned_id = value.partition(":")[2] if value[1:2] == ":" else value
        if mentioned_id == name or mentioned_id.startswith(f"{name}."):
            return True
    return False
