"""Estimation and control of the slowdown batch tasks cause in services."""

from __future__ import annotations
