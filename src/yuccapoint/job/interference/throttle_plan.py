"""Chooses throttle shares that keep a service within its allowance."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.job.interference.neighbour import Neighbour

MIN_SHARE = 0.1
SHARE_STEP = 0.1


def plan_shares(
    neighbours: list[Neighbour],
    weigh: Callable[[str], float],
    suspect: Callable[[str], float],
    allowance: float,
) -> dict[str, float]:
    """Give each task's share, with little batch work lost.

    Parameters
    ----------
    neighbours : list of Neighbour
        The batch tasks; their shares now do not matter.
    weigh : callable
        Gives the slowdown that a class is taken to add at full share.
    suspect : callable
        Gives what a class may add; the highest is limited first.
    allowance : float
        Slowdown that the batch tasks may add together.
    """
    weights = {n.job_id: weigh(n.job_class) for n in neighbours}
    ranks = {n.job_id: suspect(n.job_class) for n in neighbours}
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
