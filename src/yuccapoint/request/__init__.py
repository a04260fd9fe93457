"""The path of one request: routing, admission, limits and idempotency."""

from __future__ import annotations
