"""Small stand-ins for the platform that yuccapoint runs on."""

from __future__ import annotations
