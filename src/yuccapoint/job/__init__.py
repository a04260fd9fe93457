"""What lives for one batch job: longer than any process."""

from __future__ import annotations
