"""Row of the pools table."""

from __future__ import annotations

import msgspec


class Pool(msgspec.Struct, frozen=True, kw_only=True):
    """A group of VMs and the work that may run on them.

    Attributes
    ----------
    name : str
        Name of the pool, which agents refer to in their settings.
    batch : bool
        Whether batch jobs may run on the pool's VMs.
    guard : bool
        Whether the interference guard acts on batch tasks.
    tail_weight, eviction_weight : float
        Relative weights of tail latency and evictions, for the guard and
        the placement.
    placement : str
        Name of the placement policy.
    reserved_millicores, reserved_memory_bytes : int
        Resources that batch work leaves free on each VM.
    team_quota_millicores : dict of str to int
        Processor quota for a team's running jobs; a team without an
        element has no quota.
    max_attempts : int
        Failed attempts after which a job fails.
    """

    name: str
    batch: bool = True
    guard: bool = True
    tail_weight: float = 1.0
    eviction_weight: float = 1.0
    placement: str = "spread"
    reserved_millicores: int = 0
    reserved_memory_bytes: int = 0
    team_quota_millicores: dict[str, int] = {}
    max_attempts: int = 4
