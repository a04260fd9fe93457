"""A row of the table of pools."""

from __future__ import annotations

import msgspec


class Pool(msgspec.Struct, frozen=True, kw_only=True):
    """A group of VMs and the work that they may carry.

    Attributes
    ----------
    name : str
        The row's name; agents name it in their settings.
    batch : bool
        Whether batch jobs may run on the pool's VMs.
    guard : bool
        Whether the interference guard acts on batch tasks.
    tail_weight, eviction_weight : float
        What the guard and the placement weigh against each other.
    placement : str
        Name of the placement policy.
    reserved_millicores, reserved_memory_bytes : int
        Kept free of batch work on each VM.
    team_quota_millicores : dict of str to int
        Processors that a team's running jobs may hold; a team that is
        not named has no quota.
    max_attempts : int
        Failed attempts after which a job is given up.
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
