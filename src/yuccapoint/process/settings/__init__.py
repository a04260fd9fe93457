"""Settings in INI format: one file per role, validated as a whole."""

from __future__ import annotations
