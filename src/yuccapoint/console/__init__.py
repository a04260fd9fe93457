"""The command line: a thin layer over the other packages."""

from __future__ import annotations
