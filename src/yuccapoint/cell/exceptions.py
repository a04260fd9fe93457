"""Errors of a cell."""

from __future__ import annotations

from yuccapoint.exceptions import YuccapointError


class InvalidJobError(YuccapointError):
    """A submitted job is malformed or can never run."""


class DamagedRecordError(YuccapointError):
    """A stored record has an unknown key or can't be decoded."""
