"""Chooses throttle shares that keep a service within its allowance."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.job.interference.neighbour import Neighbour
    from yuccapoint.job.interference.pair_estimates import PairEstimates

LEAST_SHARE = 0.1
SHARE_STEP = 0.1


def plan_shares(
    company: list[Neighbour], estimates: PairEstimates, allowance: float
) -> dict[str, float]:
    """Give each task's share, with the least batch work lost.

    The tasks that may slow the service most are limited first.

    Parameters
    ----------
    company : list of Neighbour
        The batch tasks; their shares now do not matter.
    estimates : PairEstimates
        What each class adds.
    allowance : float
        Slowdown that the batch tasks may add together.
    """
    weights = {n.job_id: estimates.weight(n.job_class) for n in company}
    uppers = {n.job_id: estimates.upper(n.job_class) for n in company}
    excess = sum(weights.values())
    shares = dict.fromkeys(weights, 1.0)
    for job_id in sorted(weights, key=lambda job: (-uppers[job], job)):
        over = excess - allowance
        weight = weights[job_id]
        if over <= 0 or weight <= 0:
            return shares
        share = _rounded(1.0 - over / weight)
        shares[job_id] = share
        excess -= weight * (1.0 - share)
    return shares


def _rounded(share: float) -> float:
    steps = int(share / SHARE_STEP + 1e-9)
    return max(LEAST_SHARE, round(steps * SHARE_STEP, 3))
