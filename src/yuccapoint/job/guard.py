"""The interference guard, which protects a service from batch tasks."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from yuccapoint.job.actions import Explain
from yuccapoint.job.actions import WorkerThrottle
from yuccapoint.job.interference.eviction_choice import costly_to_throttle
from yuccapoint.job.interference.eviction_choice import is_throttling_exhausted
from yuccapoint.job.interference.eviction_choice import most_slowing
from yuccapoint.job.interference.eviction_choice import tasks_to_limit
from yuccapoint.job.interference.eviction_history import EvictionHistory
from yuccapoint.job.interference.guard_state import GuardState
from yuccapoint.job.interference.neighbour import Neighbour
from yuccapoint.job.interference.neighbour_history import NeighbourHistory
from yuccapoint.job.interference.pair_exchange import PairExchange
from yuccapoint.job.interference.sample_filter import SampleFilter
from yuccapoint.job.interference.slowdown_estimator import SlowdownEstimator
from yuccapoint.job.interference.throttle_plan import plan_shares
from yuccapoint.job.interference.throttled_task import ThrottledTask

if TYPE_CHECKING:
    from yuccapoint.job.actions import Action
    from yuccapoint.job.interference.pair_report import PairEstimate
    from yuccapoint.job.interference.pair_report import PairReport
    from yuccapoint.job.task_manager import TaskManager
    from yuccapoint.job.worker_events import UsageSample

# Ratio of the service time to that on an idle VM.
TARGET_SLOWDOWN = 1.25
# Bounds how far the pool's weights may extend the allowance.
MAX_ALLOWANCE_FACTOR = 1.6
# Shares are raised towards a smaller allowance than they are lowered to,
# which keeps the throttle from oscillating.
RAISE_ALLOWANCE_FACTOR = 0.75
MIN_RUN_BEFORE_EVICTION_S = 30.0
MIN_EVICTION_INTERVAL_S = 6.0
# Time over the allowance before throttling counts as insufficient.
OVER_ALLOWANCE_GRACE_S = 5.0
STOPPED_DURATION_S = 30.0
# Shares are lowered again only on a sample that describes a time this long
# after the previous lowering, when its effect shows.
THROTTLE_SETTLE_S = 1.0
# Limits are resent since a call to the worker may have been lost. A lifted
# limit is resent only for RESEND_DURATION_S.
RESEND_INTERVAL_S = 5.0
RESEND_DURATION_S = 15.0
# Bounds the lost run time accrued over a gap between two calls.
MAX_ACCRUAL_STEP_S = 2.0


class Guard:
    """Throttles and evicts batch tasks that slow a service.

    On invalid, missing or stale measurements the guard keeps the throttle
    unchanged, evicts nothing and accepts no new batch work beside running
    tasks.

    Parameters
    ----------
    task_manager : TaskManager
        The tasks of the VM.

    Attributes
    ----------
    state : GuardState
        Current state of the guard.
    evictions : int
        Number of evicted tasks.
    """

    def __init__(self, task_manager: TaskManager) -> None:
        self.state = GuardState.NORMAL
        self.estimator = SlowdownEstimator()
        self.evictions = 0
        self.service = ""
        self.tail_weight = 1.0
        self.eviction_weight = 1.0
        self._task_manager = task_manager
        self._sample_filter = SampleFilter()
        self._history = NeighbourHistory()
        self._tasks: dict[str, ThrottledTask] = {}
        self._over_allowance_since_s = math.inf
        self._evicting_job_id = ""
        self._eviction_history = EvictionHistory()
        self._stopped_until_s = -math.inf
        self._accrued_at_s = -math.inf
        self._lowered_at_s = -math.inf
        self._resend_at_s = -math.inf
        self._pairs = PairExchange(self.estimator)

    def configure(
        self, service: str, tail_weight: float, eviction_weight: float
    ) -> None:
        """Set the VM's service class and the weights of its pool."""
        self.service = service
        self.tail_weight = tail_weight
        self.eviction_weight = eviction_weight

    def release(self) -> list[Action]:
        """Remove all throttles because the guard is being disabled."""
        actions: list[Action] = [
            WorkerThrottle(task.job_id, task.attempt, 1.0)
            for task in self._tasks.values()
            if task.share < 1.0
        ]
        self._tasks.clear()
        self.state = GuardState.NORMAL
        return actions

    def pair_report(self, now_s: float) -> PairReport | None:
        """Return the VM's recent estimates; None if no report is due."""
        return self._pairs.report(self.service, now_s)

    def apply_priors(self, priors: list[PairEstimate], now_s: float) -> None:
        """Apply the estimates of other VMs."""
        self._pairs.apply_priors(self.service, priors, now_s)

    @property
    def allowance(self) -> float:
        """Slowdown that batch tasks may add under the pool's weights."""
        ratio = self.eviction_weight / max(self.tail_weight, 0.01)
        factor = math.sqrt(max(ratio, 0.0))
        factor = min(max(factor, 1.0), MAX_ALLOWANCE_FACTOR)
        return (TARGET_SLOWDOWN - 1.0) * factor

    @property
    def _over_allowance(self) -> bool:
        return math.isfinite(self._over_allowance_since_s)

    def accepts_batch(self, now_s: float) -> bool:
        """Return whether the VM accepts new batch tasks."""
        if self.state in (GuardState.MOVING, GuardState.STOPPED):
            return False
        return not self._tasks or not self._sample_filter.is_stale(now_s)

    def share(self, job_id: str) -> float:
        """Return the throttle share of a task."""
        task = self._tasks.get(job_id)
        return 1.0 if task is None else task.share

    def on_usage(
        self, samples: list[UsageSample], now_s: float
    ) -> list[Action]:
        """Update the estimates and adjust the throttles.

        Parameters
        ----------
        samples : list of UsageSample
            Delayed measurements in any order.
        now_s : float
            Monotonic time in seconds.
        """
        neighbours = self.neighbours(now_s)
        self._history.record(neighbours, now_s)
        fresh = self._sample_filter.accept(samples, now_s)
        for sample in fresh:
            self._update_estimator(sample, now_s)
        actions: list[Action] = []
        self._accrue_lost_time(now_s)
        self._resend_limits(now_s, actions)
        if fresh and not self._sample_filter.is_stale(now_s):
            self._adjust(neighbours, now_s, actions)
        return actions

    def neighbours(self, now_s: float) -> list[Neighbour]:
        """Return the running batch tasks and start tracking new ones."""
        running = {}
        for job_id, task in self._task_manager.tasks.items():
            if not task.outcome:
                running[job_id] = task
        for job_id in list(self._tasks):
            tracked = self._tasks[job_id]
            found = running.get(job_id)
            if found is None or found.attempt != tracked.attempt:
                del self._tasks[job_id]
        for job_id, task in running.items():
            if job_id in self._tasks:
                continue
            tracked = ThrottledTask(
                job_id, task.attempt, task.job_class, now_s
            )
            # The agent may have throttled the task before it restarted.
            tracked.was_limited = math.isinf(self._accrued_at_s)
            self._tasks[job_id] = tracked
        return [
            Neighbour(task.job_id, task.job_class, task.share)
            for task in self._tasks.values()
        ]

    def neighbours_at(
        self, sample: UsageSample, now_s: float
    ) -> list[Neighbour] | None:
        """Return the tasks that a sample describes; None if unknown."""
        del now_s
        return self._history.described_by(sample)

    def _update_estimator(self, sample: UsageSample, now_s: float) -> None:
        neighbours = self.neighbours_at(sample, now_s)
        if neighbours is None:
            return
        self.estimator.update(
            neighbours, sample.service_slowdown, sample.described_at_s
        )

    def _accrue_lost_time(self, now_s: float) -> None:
        step_s = min(MAX_ACCRUAL_STEP_S, now_s - self._accrued_at_s)
        self._accrued_at_s = now_s
        for task in self._tasks.values():
            task.accrue_lost_time(step_s)

    def _resend_limits(self, now_s: float, actions: list[Action]) -> None:
        """Resend limits in case a call to the worker was lost."""
        if now_s < self._resend_at_s:
            return
        self._resend_at_s = now_s + RESEND_INTERVAL_S
        for task in self._tasks.values():
            recent = now_s < task.changed_at_s + RESEND_DURATION_S
            if task.share < 1.0 or (recent and task.was_limited):
                actions.append(
                    WorkerThrottle(task.job_id, task.attempt, task.share)
                )

    def _adjust(
        self, neighbours: list[Neighbour], now_s: float, actions: list[Action]
    ) -> None:
        excess = self.estimator.excess(neighbours)
        if excess <= self.allowance:
            self._over_allowance_since_s = math.inf
        else:
            self._over_allowance_since_s = min(
                self._over_allowance_since_s, now_s
            )
        self._lower_shares(neighbours, excess, now_s, actions)
        self._raise_shares(neighbours, excess, now_s, actions)
        self._evict_if_needed(neighbours, excess, now_s, actions)
        self._update_state(now_s)

    def _lower_shares(
        self,
        neighbours: list[Neighbour],
        excess: float,
        now_s: float,
        actions: list[Action],
    ) -> None:
        if not self._over_allowance:
            return
        if (
            self._sample_filter.newest_s
            < self._lowered_at_s + THROTTLE_SETTLE_S
        ):
            return
        estimator = self.estimator
        plan = plan_shares(
            neighbours, estimator.weight, estimator.upper, self.allowance
        )
        lowered = [
            self._tasks[job_id]
            for job_id, share in plan.items()
            if share < self._tasks[job_id].share - 0.01
        ]
        for task in tasks_to_limit(lowered, estimator):
            self._lowered_at_s = now_s
            task.lower(plan[task.job_id], now_s)
            self._throttle(task, excess, actions)

    def _raise_shares(
        self,
        neighbours: list[Neighbour],
        excess: float,
        now_s: float,
        actions: list[Action],
    ) -> None:
        if now_s < self._stopped_until_s or self._over_allowance:
            return
        allowance = self.allowance * RAISE_ALLOWANCE_FACTOR
        lower = self.estimator.lower
        plan = plan_shares(neighbours, lower, lower, allowance)
        for job_id, share in plan.items():
            task = self._tasks[job_id]
            if share <= task.share + 0.01 or not task.may_raise(now_s):
                continue
            share = task.next_raise(share)
            weight = self.estimator.weight(task.job_class)
            added = weight * (share - task.share)
            if excess + added > self.allowance:
                continue
            excess += added
            task.raise_to(share, now_s)
            self._throttle(task, excess, actions)

    def _throttle(
        self, task: ThrottledTask, excess: float, actions: list[Action]
    ) -> None:
        actions.append(WorkerThrottle(task.job_id, task.attempt, task.share))
        text = f"sets the share of {task.job_id} to {task.share:.0%}"
        actions.append(Explain("guard", text, self._log_fields(task, excess)))

    def _evict_if_needed(
        self,
        neighbours: list[Neighbour],
        excess: float,
        now_s: float,
        actions: list[Action],
    ) -> None:
        if self._evicting_job_id in self._tasks:
            return
        self._evicting_job_id = ""
        if now_s < self._eviction_history.last_s + MIN_EVICTION_INTERVAL_S:
            return
        evictable = [
            task
            for task in self._tasks.values()
            if now_s >= task.first_seen_at_s + MIN_RUN_BEFORE_EVICTION_S
        ]
        why = ""
        chosen = most_slowing(evictable, self.estimator)
        over_for_long = (
            now_s >= self._over_allowance_since_s + OVER_ALLOWANCE_GRACE_S
            and excess > self.allowance
        )
        if (
            chosen is not None
            and over_for_long
            and is_throttling_exhausted(neighbours, self.estimator)
        ):
            why = "throttling is not sufficient"
        else:
            chosen = costly_to_throttle(
                evictable,
                self.estimator,
                self.allowance,
                self.eviction_weight,
                self._pairs.slowdowns_elsewhere,
            )
            why = "throttling costs more than an eviction"
        if chosen is None:
            return
        self._evict(chosen, why, excess, now_s, actions)

    def _evict(
        self,
        task: ThrottledTask,
        why: str,
        excess: float,
        now_s: float,
        actions: list[Action],
    ) -> None:
        before = len(actions)
        reason = f"evicted: it slows the service on its VM, {why}"
        self._task_manager.stop(task.job_id, task.attempt, reason, actions)
        if len(actions) == before:
            return
        self.evictions += 1
        self._evicting_job_id = task.job_id
        self._eviction_history.note(now_s)
        fields = self._log_fields(task, excess)
        text = f"evicts {task.job_id}: {why}"
        actions.append(Explain("guard", text, fields))

    def _update_state(self, now_s: float) -> None:
        over_for_long = (
            now_s >= self._over_allowance_since_s + OVER_ALLOWANCE_GRACE_S
        )
        if over_for_long and self._eviction_history.is_frequent(now_s):
            self._stopped_until_s = now_s + STOPPED_DURATION_S
        if self._evicting_job_id in self._tasks:
            self.state = GuardState.MOVING
        elif now_s < self._stopped_until_s:
            self.state = GuardState.STOPPED
        elif any(task.share < 1.0 for task in self._tasks.values()):
            self.state = GuardState.THROTTLED
        else:
            self.state = GuardState.NORMAL

    def _log_fields(
        self, task: ThrottledTask, excess: float
    ) -> dict[str, str | int | float]:
        return {
            "vm": self._task_manager.vm,
            "job": task.job_id,
            "attempt": task.attempt,
            "class": task.job_class,
            "state": self.state.value,
            "share": task.share,
            "adds_slowdown": round(self.estimator.weight(task.job_class), 3),
            "adds_deviation": round(
                self.estimator.deviation(task.job_class), 3
            ),
            "batch_slowdown": round(excess, 3),
            "allowed_slowdown": round(self.allowance, 3),
            "own_slowdown": round(self.estimator.baseline, 3),
            "lost_s": round(task.lost_s, 1),
            "tail_weight": self.tail_weight,
            "eviction_weight": self.eviction_weight,
        }
