"""Throttle shares that keep a service within its allowed slowdown."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.job.interference.neighbour import Neighbour

MIN_SHARE = 0.1
SHARE_STEP = 0.1  # shares are rounded down to a multiple


def plan_shares(
    neighbours: list[Neighbour],
    weight_of: Callable[[str], float],
    rank_of: Callable[[str], float],
    allowance: float,
) -> dict[str, float]:
    """Return the share by job id that keeps the total within the allowance.

    Tasks are throttled in descending order of rank, and no more of them
    than necessary.

    Parameters
    ----------
    neighbours : list of Neighbour
        The batch tasks; their current shares are not used.
    weight_of : callable
        Returns the slowdown that a class is assumed to add at full share.
    rank_of : callable
        Returns the rank of a class; the highest is throttled first.
    allowance : float
        Slowdown that all batch tasks together may add.
    """
    weights = {n.job_id: weight_of(n.job_class) for n in neighbours}
    ranks = {n.job_id: rank_of(n.job_class) for n in neighbours}
    excess = sum(weights.values())
    shares = dict.fromkeys(weights, 1.0)
    for job_id in sorted(weights, key=lambda job: (-ranks[job], job)):
        over = excess - allowance
        weight = weights[job_id]
        if over <= 0:
            return shares
        if weight <= 0:
            continue
        share = _round_down(1.0 - over / weight)
        shares[job_id] = share
        excess -= weight * (1.0 - share)
    return shares


def _round_down(share: float) -> float:
    steps = int(share / SHARE_STEP + 1e-9)
    return max(MIN_SHARE, round(steps * SHARE_STEP, 3))
