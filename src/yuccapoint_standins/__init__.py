"""Small stand-ins for the platform on which yuccapoint runs."""

from __future__ import annotations
