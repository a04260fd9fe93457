"""Loader of settings files that reports all faults at once."""

from __future__ import annotations

import configparser
import pathlib
from typing import TYPE_CHECKING
from typing import TypeVar

import pydantic

from yuccapoint.exceptions import SettingsError
from yuccapoint.process.settings.ini_lines import IniLines
from yuccapoint.process.settings.sections import AgentSettings
from yuccapoint.process.settings.sections import EntrySettings

if TYPE_CHECKING:
    from pydantic_core import ErrorDetails

SettingsT = TypeVar("SettingsT", bound=pydantic.BaseModel)


def load_entry_settings(path: str) -> EntrySettings:
    """Load the settings of an entry from a file."""
    return _load(path, EntrySettings)


def load_agent_settings(path: str) -> AgentSettings:
    """Load the settings of an agent from a file."""
    return _load(path, AgentSettings)


def parse_settings(text: str, model: type[SettingsT]) -> SettingsT:
    """Parse and validate a settings text.

    Parameters
    ----------
    text : str
        The INI text.
    model : type
        Settings model of the role.

    Returns
    -------
    pydantic.BaseModel
        The validated settings.

    Raises
    ------
    SettingsError
        The text is invalid; all faults are listed with their lines.
    """
    lines = IniLines(text)
    parser = configparser.ConfigParser(
        strict=False, interpolation=None, default_section="\0"
    )
    faults = list(lines.faults)
    try:
        parser.read_string(text)
    except configparser.ParsingError:
        if not faults:
            faults.append("not an INI file")
    except configparser.Error as error:
        if not faults:
            faults.append(str(error).splitlines()[0])
    values = {name: dict(parser[name]) for name in parser.sections()}
    settings = None
    try:
        settings = model.model_validate(values)
    except pydantic.ValidationError as error:
        for detail in error.errors():
            faults.append(_describe_error(detail, lines))
    if faults or settings is None:
        raise SettingsError("\n".join(faults))
    return settings


def _load(path: str, model: type[SettingsT]) -> SettingsT:
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"can't read {path}: {error}") from None
    return parse_settings(text, model)


def _describe_error(detail: ErrorDetails, lines: IniLines) -> str:
    where = [str(part) for part in detail["loc"]]
    section = where[0]
    key = where[1] if len(where) > 1 else ""
    line = lines.line_of(section, key)
    place = f"line {line}: " if line else ""
    shown = f"[{section}] {key}".strip()
    if detail["type"] == "extra_forbidden":
        return f"{place}{shown} is unknown"
    if detail["type"] == "missing":
        return f"{place}{shown} is missing"
    text = detail["msg"].removeprefix("Value error, ")
    text = text[0].lower() + text[1:]
    return f"{place}{shown} {text}, not {detail['input']!r}"
