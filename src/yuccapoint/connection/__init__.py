"""Connections between processes and to the platform's services."""

from __future__ import annotations
