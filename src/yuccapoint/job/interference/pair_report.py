"""What agents and entries tell each other about interference."""

from __future__ import annotations

import msgspec


class PairEstimate(msgspec.Struct, frozen=True, array_like=True):
    """Slowdown that a task of a batch class adds to a service class.

    Attributes
    ----------
    deviation : float
        Standard deviation of ``slowdown``.
    count : float
        Samples behind it, fading with time; 0 where it isn't counted.
    """

    service: str
    job_class: str
    slowdown: float
    deviation: float
    count: float = 0.0


class PairReport(msgspec.Struct, frozen=True, array_like=True):
    """All that one VM learned lately; a newer one replaces it.

    Attributes
    ----------
    revision : int
        Rises with each report of an agent's incarnation.
    wants_priors : bool
        Whether the agent asks for what other VMs learned.
    """

    revision: int
    wants_priors: bool
    pairs: list[PairEstimate]
