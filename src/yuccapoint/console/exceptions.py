"""Errors that the command line reports."""

from __future__ import annotations

from yuccapoint.exceptions import YuccapointError


class CommandError(YuccapointError):
    """A command failed; the message is one sentence."""


class RefusedError(CommandError):
    """The entry refused the request."""


class SavedLogError(CommandError):
    """Saved log lines can't be read."""
