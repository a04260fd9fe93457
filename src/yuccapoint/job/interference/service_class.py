"""The service class of a VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def service_class(services: Iterable[str]) -> str:
    """Return the joined names of a VM's services; empty without any."""
    return "+".join(sorted(set(services)))
