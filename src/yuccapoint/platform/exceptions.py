"""Errors in messages from the platform."""

from __future__ import annotations

from yuccapoint.exceptions import YuccapointError


class MalformedMessageError(YuccapointError):
    """A message from the platform is malformed."""
