"""Benchmarks of the decision logic and the processes."""

from __future__ import annotations
