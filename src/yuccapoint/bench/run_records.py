"""Reads the output of a run: JSON log lines and JSON lines of benches."""

from __future__ import annotations

import pathlib
from typing import Any

from yuccapoint.decoding import decode_json
from yuccapoint.decoding import parse_number
from yuccapoint.exceptions import DecodingError
from yuccapoint.exceptions import YuccapointError

SHOWN_LOG_PARTS = ("place", "guard", "lease", "route", "caller", "tables")


class RunFileError(YuccapointError):
    """A file can't be read or holds no JSON line of a run."""


class VersionTime:
    """Time since the epoch when a version of the tables came into force."""

    __slots__ = ("time_s", "version")

    def __init__(self, time_s: float, version: int) -> None:
        self.time_s = time_s
        self.version = version


class RunRecords:
    """The log lines and bench figures of a run, grouped by kind.

    Attributes
    ----------
    benches : dict of str to dict
        Figures as the benches printed them, by file name without suffix.
    times_s : dict of str to list of float
        Times of log lines since the epoch, by part.
    versions : list of VersionTime
        Versions of the tables and when they came into force.
    """

    __slots__ = ("benches", "times_s", "versions")

    def __init__(self) -> None:
        self.benches: dict[str, dict[str, Any]] = {}
        self.times_s: dict[str, list[float]] = {}
        self.versions: list[VersionTime] = []

    @property
    def log_line_count(self) -> int:
        """Number of log lines of the parts that are shown."""
        return sum(len(times) for times in self.times_s.values())

    def read_file(self, path: str) -> None:
        """Read a file of log lines or bench lines and add it.

        Raises
        ------
        RunFileError
            The file can't be read or holds no JSON line of a run.
        """
        try:
            text = pathlib.Path(path).read_text("utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise RunFileError(f"{path} can't be read: {error}") from None
        accepted_lines = 0
        for line in text.splitlines():
            accepted_lines += self._add_line(pathlib.Path(path).stem, line)
        if not accepted_lines:
            raise RunFileError(f"{path} holds no JSON line of a run")

    def _add_line(self, name: str, line: str) -> bool:
        try:
            values = decode_json(line.encode(), object)
        except DecodingError:
            return False
        if not isinstance(values, dict):
            return False
        if "message_type" not in values:
            self.benches[name] = values
            return True
        self._add_log_line(values)
        return True

    def _add_log_line(self, values: dict[str, Any]) -> None:
        part = values.get("message_type")
        time_s = values.get("timestamp")
        if part not in SHOWN_LOG_PARTS or not isinstance(time_s, int | float):
            return
        self.times_s.setdefault(part, []).append(float(time_s))
        if part == "tables":
            self._add_version(float(time_s), str(values.get("text", "")))

    def _add_version(self, time_s: float, text: str) -> None:
        first_word, _, rest = text.partition(" ")
        number = parse_number(rest.partition(" ")[0])
        if first_word == "version" and number is not None:
            self.versions.append(VersionTime(time_s, number))


def flatten_figures(
    values: dict[str, Any], prefix: str = ""
) -> dict[str, float]:
    """Return the numbers of a bench's output by their dotted names."""
    figures: dict[str, float] = {}
    for name, value in values.items():
        if isinstance(value, dict):
            figures.update(flatten_figures(value, f"{prefix}{name}."))
            continue
        if isinstance(value, bool) or not isinstance(value, int | float):
            continue
        figures[f"{prefix}{name}"] = float(value)
    return figures
