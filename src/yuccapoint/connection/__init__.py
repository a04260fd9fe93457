"""What lives for one connection."""

from __future__ import annotations
