"""What lives for one request."""

from __future__ import annotations
