"""One module a command."""

from __future__ import annotations
