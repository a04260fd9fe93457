"""Rules of a route for its jobs."""

from __future__ import annotations

import msgspec


class QueueRules(msgspec.Struct, frozen=True, array_like=True):
    """Rules that a route sets for its jobs.

    Attributes
    ----------
    route : str
        Name of the route.
    pool : str
        Name of the pool whose VMs run the tasks.
    priority : int
        Jobs with a lower value go first.
    max_attempts : int
        Number of failures of one task that fail its job.
    objective_factor : float
        Objective as a multiple of the critical path.
    objective_ms : int
        Constant part of the objective.
    advice_valid_ms : int
        Validity of an adviser's ticket; 0 for no adviser.
    """

    route: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    objective_factor: float = 1.0
    objective_ms: int = 0
    advice_valid_ms: int = 0
