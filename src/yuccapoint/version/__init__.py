"""The versioned tables of routes and pools."""

from __future__ import annotations
