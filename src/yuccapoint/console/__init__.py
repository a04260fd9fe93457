"""The command line, thin over the other packages."""

from __future__ import annotations
