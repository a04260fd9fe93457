"""A scheduler that colocates latency-critical and batch work."""

from __future__ import annotations

__version__ = "0.1.0"
