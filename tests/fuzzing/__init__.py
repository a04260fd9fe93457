"""Stateful fuzzing of entries and agents over a simulated environment."""

from __future__ import annotations
