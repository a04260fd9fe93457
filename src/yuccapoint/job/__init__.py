"""Batch jobs: scheduling, task execution and interference control."""

from __future__ import annotations
