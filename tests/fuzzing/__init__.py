"""Stateful fuzzing of the real processes over scripted edges."""

from __future__ import annotations
