"""Choice of the batch tasks that are limited or evicted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.job.interference.slowdown_estimator import DEFAULT_SLOWDOWN
from yuccapoint.job.interference.slowdown_estimator import SlowdownEstimator
from yuccapoint.job.interference.throttle_plan import MIN_SHARE

if TYPE_CHECKING:
    from yuccapoint.job.interference.neighbour import Neighbour
    from yuccapoint.job.interference.throttled_task import ThrottledTask

# Run time lost to throttling that equals the cost of an eviction.
EVICTION_COST_S = 25.0
# A throttled task is evicted only if its class slows another service by
# less than this share of the slowdown here.
MAX_SLOWDOWN_RATIO_ELSEWHERE = 0.5


def most_slowing(
    tasks: list[ThrottledTask], estimator: SlowdownEstimator
) -> ThrottledTask | None:
    """Return the task that slows the service most for certain, or None."""
    return max(
        tasks,
        key=lambda task: estimator.lower(task.job_class),
        default=None,
    )


def is_throttling_exhausted(
    neighbours: list[Neighbour], estimator: SlowdownEstimator
) -> bool:
    """Return whether all tasks are limited as far as they can be."""
    for neighbour in neighbours:
        weight = estimator.weight(neighbour.job_class)
        if weight * neighbour.share > weight * MIN_SHARE + 0.01:
            return False
    return True


def costly_to_throttle(
    tasks: list[ThrottledTask],
    estimator: SlowdownEstimator,
    allowance: float,
    eviction_weight: float,
    slowdowns_elsewhere: dict[str, float],
) -> ThrottledTask | None:
    """Return a task that loses more by its limit than by an eviction.

    Parameters
    ----------
    tasks : list of ThrottledTask
        The tasks that may be evicted.
    estimator : SlowdownEstimator
        Slowdown by class on this VM.
    allowance : float
        Slowdown that batch tasks may add.
    eviction_weight : float
        Weight of an eviction in the pool.
    slowdowns_elsewhere : dict of str to float
        Least slowdown of another service, by class.
    """
    max_lost_s = EVICTION_COST_S * eviction_weight
    costly = [
        task
        for task in tasks
        if task.lost_s >= max_lost_s and task.share < 1.0
    ]
    task = most_slowing(costly, estimator)
    if task is None:
        return None
    weight = estimator.lower(task.job_class)
    if weight <= allowance / 2:
        return None
    slowdown = slowdowns_elsewhere.get(task.job_class, DEFAULT_SLOWDOWN)
    return task if slowdown < MAX_SLOWDOWN_RATIO_ELSEWHERE * weight else None


def tasks_to_limit(
    tasks: list[ThrottledTask], estimator: SlowdownEstimator
) -> list[ThrottledTask]:
    """Return tasks of significant classes, else one class as a trial."""
    significant = [t for t in tasks if estimator.is_significant(t.job_class)]
    uncertain = [t for t in tasks if not estimator.is_significant(t.job_class)]
    if significant or not uncertain:
        return significant
    first = max(uncertain, key=lambda t: estimator.upper(t.job_class))
    return [t for t in uncertain if t.job_class == first.job_class]
