"""Errors of a cell."""

from __future__ import annotations

from yuccapoint.exceptions import YuccapointError


class InvalidJobError(YuccapointError):
    """A submitted job can't be understood or can never run."""


class DamagedRecordError(YuccapointError):
    """A record of the store was not written by this project."""
