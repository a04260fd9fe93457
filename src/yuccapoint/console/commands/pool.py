"""``yuccapoint pool``: list, show, set and remove pools."""

from __future__ import annotations

from yuccapoint.console.table_application import table_application

application = table_application("pool")
