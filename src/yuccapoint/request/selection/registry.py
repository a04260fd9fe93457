"""Registry of endpoint selection policies."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from yuccapoint.request.endpoint_view import EndpointView

SelectionPolicy = Callable[
    ["list[EndpointView]", "random.Random", float], "EndpointView"
]

SELECTION_POLICIES: dict[str, SelectionPolicy] = {}


def selection_policy(
    name: str,
) -> Callable[[SelectionPolicy], SelectionPolicy]:
    """Register an endpoint selection policy under its name in routes."""

    def register(policy: SelectionPolicy) -> SelectionPolicy:
        SELECTION_POLICIES[name] = policy
        return policy

    return register
