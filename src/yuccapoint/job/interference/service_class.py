"""Names the service class of a VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def service_class(services: Iterable[str]) -> str:
    """Name what a VM's services are together; empty if there are none."""
    return "+".join(sorted(set(services)))
