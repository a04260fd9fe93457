"""What lives for one version of the tables."""

from __future__ import annotations
