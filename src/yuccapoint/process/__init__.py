"""Components with the lifetime of an entry or agent process."""

from __future__ import annotations
