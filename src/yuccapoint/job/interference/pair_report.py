"""Interference estimates as exchanged by agents and entries."""

from __future__ import annotations

import msgspec


class PairEstimate(msgspec.Struct, frozen=True, array_like=True):
    """Slowdown that a task of a batch class adds to a service class.

    Attributes
    ----------
    deviation : float
        Standard deviation of ``slowdown``.
    count : float
        Samples behind the estimate, decaying over time; 0 if not counted.
    """

    service: str
    job_class: str
    slowdown: float
    deviation: float
    count: float = 0.0


class PairReport(msgspec.Struct, frozen=True, array_like=True):
    """The recent estimates of one VM; a newer report replaces it.

    Attributes
    ----------
    revision : int
        Incremented with each report of an agent's incarnation.
    wants_priors : bool
        Whether the agent requests the estimates of other VMs.
    """

    revision: int
    wants_priors: bool
    pairs: list[PairEstimate]
