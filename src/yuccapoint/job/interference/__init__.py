"""What batch tasks cost the services beside them, learned and shared."""

from __future__ import annotations
