"""Order in which steps are placed, by what their callers can still gain."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.cell.placement_rules import PlacementRules
    from yuccapoint.cell.step_run import StepRun

# A job counts as late when its expected end is past its objective by more
# than this share of the objective's span, as run time estimates are rough.
LATE_TOLERANCE = 0.1
# A job expected to take this many times the span of its objective is worth
# nothing to its caller and is scheduled last.
EXPIRED_AFTER_OBJECTIVES = 3.0


def urgency(
    step: StepRun, rules: PlacementRules, wall_ms: int
) -> tuple[int, int, float, float]:
    """Return a step's sort key, by what its callers can still gain.

    Jobs that can still meet their objective go first, those with the least
    remaining work leading, then late jobs, then jobs without any value left.
    In first-come order an overload would make every job late, as each waits
    behind all earlier ones.

    Parameters
    ----------
    step : StepRun
        A step with a task that waits.
    rules : PlacementRules
        Rules of the round.
    wall_ms : int
        Wall-clock time in milliseconds.
    """
    rules_of_queue = step.occurrence.job.queue.rules
    if step.spec.long_running:
        # Tasks limited per VM are placed before those that may run on any
        # VM, which could otherwise fill the VMs they need.
        since_s = min(
            task.waiting_since_s
            for task in step.tasks
            if rules.is_waiting(task)
        )
        return (0, 0, step.spec.max_per_vm or math.inf, since_s)
    remaining_work = step.occurrence.remaining_work()
    late = lateness(step, wall_ms)
    return (late, rules_of_queue.priority, remaining_work, 0.0)


def lateness(step: StepRun, wall_ms: int) -> int:
    """Classify how late a step's job will be.

    Parameters
    ----------
    step : StepRun
        The step.
    wall_ms : int
        Wall-clock time in milliseconds.

    Returns
    -------
    int
        0 when the job can meet its objective, 1 when it will be late,
        2 when it is too late to be of value to its callers.
    """
    if step.spec.long_running:
        return 0
    job = step.occurrence.job
    objective_ms = job.objective_at_ms(step.occurrence.number)
    span_ms = job.objective_span_ms
    end_ms = wall_ms + step.occurrence.critical_path_left_ms()
    if end_ms > objective_ms + (EXPIRED_AFTER_OBJECTIVES - 1) * span_ms:
        return 2
    return int(end_ms > objective_ms + LATE_TOLERANCE * span_ms)
