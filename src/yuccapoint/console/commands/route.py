"""``yuccapoint route``: list, show, set and remove routes."""

from __future__ import annotations

from yuccapoint.console.table_application import table_application

application = table_application("route")
