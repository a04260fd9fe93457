"""Settings in INI, one file a role, checked whole."""

from __future__ import annotations
