"""Errors that the command line shows."""

from __future__ import annotations

from yuccapoint.exceptions import YuccapointError


class CommandError(YuccapointError):
    """A command failed; the text is one clear sentence."""


class RefusedError(CommandError):
    """The entry refused what was asked."""


class SavedLogError(CommandError):
    """Saved log lines can't be read."""
