"""Errors of the platform's messages."""

from __future__ import annotations

from yuccapoint.exceptions import YuccapointError


class DamagedMessageError(YuccapointError):
    """A message of the platform can't be read."""
