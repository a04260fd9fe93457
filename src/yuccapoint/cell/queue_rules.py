"""The rules of the route that a job came by, as of its submission."""

from __future__ import annotations

import msgspec


class QueueRules(msgspec.Struct, frozen=True, array_like=True):
    """What a route says of its jobs.

    Attributes
    ----------
    route : str
        Name of the route.
    pool : str
        Name of the pool whose VMs run the tasks.
    priority : int
        Lower goes first.
    max_attempts : int
        How many failures of one task fail its job.
    objective_factor : float
        Objective as a multiple of the longest chain of work.
    objective_ms : int
        Added to the objective.
    advice_valid_ms : int
        How long an adviser's permission holds; 0 for no adviser.
    """

    route: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    objective_factor: float = 1.0
    objective_ms: int = 0
    advice_valid_ms: int = 0
