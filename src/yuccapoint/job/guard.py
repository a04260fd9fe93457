"""The interference guard: protects a service from batch tasks."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from yuccapoint.job.actions import Explain
from yuccapoint.job.actions import WorkerThrottle
from yuccapoint.job.interference.guard_state import GuardState
from yuccapoint.job.interference.neighbour import Neighbour
from yuccapoint.job.interference.neighbour_history import NeighbourHistory
from yuccapoint.job.interference.pair_report import PairEstimate
from yuccapoint.job.interference.pair_report import PairReport
from yuccapoint.job.interference.pair_table import MAX_PAIRS_PER_VM
from yuccapoint.job.interference.sample_filter import SampleFilter
from yuccapoint.job.interference.slowdown_estimator import DEFAULT_SLOWDOWN
from yuccapoint.job.interference.slowdown_estimator import SlowdownEstimator
from yuccapoint.job.interference.throttle_plan import MIN_SHARE
from yuccapoint.job.interference.throttle_plan import plan_shares
from yuccapoint.job.interference.throttled_task import ThrottledTask

if TYPE_CHECKING:
    from yuccapoint.job.actions import Action
    from yuccapoint.job.task_manager import TaskManager
    from yuccapoint.job.worker_events import UsageSample

TARGET_SLOWDOWN = 1.25
MAX_ALLOWANCE_FACTOR = 1.6
RAISE_ALLOWANCE_FACTOR = 0.75
EVICTION_COST_S = 25.0
MIN_RUN_BEFORE_EVICTION_S = 30.0
MIN_EVICTION_INTERVAL_S = 6.0
OVER_ALLOWANCE_GRACE_S = 5.0
EVICTION_WINDOW_S = 30.0
EVICTIONS_TO_STOP = 2
STOPPED_DURATION_S = 30.0
THROTTLE_SETTLE_S = 1.0
PAIR_REPORT_INTERVAL_S = 4.0
PRIORS_INTERVAL_S = 10.0
RESEND_INTERVAL_S = 5.0
RESEND_DURATION_S = 15.0
MAX_SLOWDOWN_RATIO_ELSEWHERE = 0.5
MAX_ACCRUAL_STEP_S = 2.0


class Guard:
    """Throttles, moves and stops batch tasks that slow a service.

    Bad, missing or stale measurements: the guard keeps the throttle as it
    is, evicts nothing and takes no new batch work beside running tasks.

    Parameters
    ----------
    keeper : TaskManager
        The VM's tasks.

    Attributes
    ----------
    state : GuardState
        What the guard is doing.
    evictions : int
        Tasks that it moved.
    """

    def __init__(self, keeper: TaskManager) -> None:
        self.state = GuardState.NORMAL
        self.estimator = SlowdownEstimator()
        self.evictions = 0
        self.service = ""
        self.tail_weight = 1.0
        self.eviction_weight = 1.0
        self._keeper = keeper
        self._sample_filter = SampleFilter()
        self._history = NeighbourHistory()
        self._tasks: dict[str, ThrottledTask] = {}
        self._over_allowance_since_s = math.inf
        self._evicting_job_id = ""
        self._evicted_at_s: list[float] = []
        self._stopped_until_s = -math.inf
        self._decided_at_s = -math.inf
        self._acted_at_s = -math.inf
        self._revision = 0
        self._resend_at_s = -math.inf
        self._report_at_s = -math.inf
        self._priors_at_s = -math.inf
        self._slowdowns_elsewhere: dict[str, float] = {}

    def configure(
        self, service: str, tail_weight: float, eviction_weight: float
    ) -> None:
        """Take the VM's service class and the pool's weights."""
        self.service = service
        self.tail_weight = tail_weight
        self.eviction_weight = eviction_weight

    def release(self) -> list[Action]:
        """Let all tasks run at full share; the guard is switched off."""
        actions: list[Action] = [
            WorkerThrottle(task.job_id, task.attempt, 1.0)
            for task in self._tasks.values()
            if task.share < 1.0
        ]
        self._tasks.clear()
        self.state = GuardState.NORMAL
        return actions

    def pair_report(self, now_s: float) -> PairReport | None:
        """Give what the VM learned lately; None if none is due."""
        if not self.service or now_s < self._report_at_s:
            return None
        self._report_at_s = now_s + PAIR_REPORT_INTERVAL_S
        self._revision += 1
        estimator = self.estimator
        pairs = [
            PairEstimate(
                self.service,
                job_class,
                round(estimator.weight(job_class), 4),
                round(estimator.deviation(job_class), 4),
                round(estimator.counts[job_class], 1),
            )
            for job_class in estimator.recent_classes()[:MAX_PAIRS_PER_VM]
        ]
        return PairReport(
            revision=self._revision,
            wants_priors=now_s >= self._priors_at_s + PRIORS_INTERVAL_S,
            pairs=pairs,
        )

    def apply_priors(self, priors: list[PairEstimate], now_s: float) -> None:
        """Take what other VMs learned."""
        self._priors_at_s = now_s
        self._slowdowns_elsewhere.clear()
        for prior in priors:
            if prior.service == self.service:
                self.estimator.apply_prior(
                    prior.job_class, prior.slowdown, prior.deviation
                )
                continue
            least = self._slowdowns_elsewhere.get(prior.job_class, math.inf)
            self._slowdowns_elsewhere[prior.job_class] = min(
                least, prior.slowdown
            )

    @property
    def allowance(self) -> float:
        """Slowdown that the batch tasks may add, by the pool's weights."""
        ratio = self.eviction_weight / max(self.tail_weight, 0.01)
        factor = math.sqrt(max(ratio, 0.0))
        factor = min(max(factor, 1.0), MAX_ALLOWANCE_FACTOR)
        return (TARGET_SLOWDOWN - 1.0) * factor

    @property
    def _over_allowance(self) -> bool:
        return math.isfinite(self._over_allowance_since_s)

    def accepts_batch(self, now_s: float) -> bool:
        """Tell whether the VM should get new batch tasks."""
        if self.state in (GuardState.MOVING, GuardState.STOPPED):
            return False
        return not self._tasks or not self._sample_filter.is_stale(now_s)

    def share(self, job_id: str) -> float:
        """Give a task's throttle share."""
        task = self._tasks.get(job_id)
        return 1.0 if task is None else task.share

    def on_usage(
        self, samples: list[UsageSample], now_s: float
    ) -> list[Action]:
        """Weigh new samples.

        Parameters
        ----------
        samples : list of UsageSample
            Lagging measurements, in any order.
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
            self._decide(neighbours, now_s, actions)
        return actions

    def neighbours(self, now_s: float) -> list[Neighbour]:
        """Give who runs now, at what shares."""
        running = {}
        for job_id, task in self._keeper.tasks.items():
            if not task.outcome:
                running[job_id] = task
        for job_id in list(self._tasks):
            known = self._tasks[job_id]
            found = running.get(job_id)
            if found is None or found.attempt != known.attempt:
                del self._tasks[job_id]
        for job_id, task in running.items():
            if job_id in self._tasks:
                continue
            known = ThrottledTask(job_id, task.attempt, task.job_class, now_s)
            # A former start of the agent may have limited it.
            known.was_limited = math.isinf(self._decided_at_s)
            self._tasks[job_id] = known
        return [
            Neighbour(task.job_id, task.job_class, task.share)
            for task in self._tasks.values()
        ]

    def neighbours_at(
        self, sample: UsageSample, now_s: float
    ) -> list[Neighbour] | None:
        """Give who ran at the time that a sample describes, if known."""
        del now_s
        neighbours = self._history.at(sample.described_at_s)
        if neighbours is None:
            return None
        present = set(sample.job_ids)
        beside = [n for n in neighbours if n.job_id in present]
        return beside if len(beside) == len(present) else None

    def _update_estimator(self, sample: UsageSample, now_s: float) -> None:
        neighbours = self.neighbours_at(sample, now_s)
        if neighbours is None:
            return
        self.estimator.update(
            neighbours, sample.service_slowdown, sample.described_at_s
        )

    def _accrue_lost_time(self, now_s: float) -> None:
        step_s = min(MAX_ACCRUAL_STEP_S, now_s - self._decided_at_s)
        self._decided_at_s = now_s
        for task in self._tasks.values():
            task.accrue_lost_time(step_s)

    def _resend_limits(self, now_s: float, actions: list[Action]) -> None:
        """Say the shares again, since a call to the worker may be lost."""
        if now_s < self._resend_at_s:
            return
        self._resend_at_s = now_s + RESEND_INTERVAL_S
        for task in self._tasks.values():
            recent = now_s < task.changed_at_s + RESEND_DURATION_S
            if task.share < 1.0 or (recent and task.was_limited):
                actions.append(
                    WorkerThrottle(task.job_id, task.attempt, task.share)
                )

    def _decide(
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
        if self._sample_filter.newest_s < self._acted_at_s + THROTTLE_SETTLE_S:
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
        for task in self._tasks_to_limit(lowered):
            self._acted_at_s = now_s
            task.lower(plan[task.job_id], now_s)
            self._throttle(task, excess, actions)

    def _tasks_to_limit(
        self, tasks: list[ThrottledTask]
    ) -> list[ThrottledTask]:
        """Pick the sure ones, else one class, to see what it changes."""
        estimator = self.estimator
        suspects = [t for t in tasks if estimator.is_significant(t.job_class)]
        unsure = [
            t for t in tasks if not estimator.is_significant(t.job_class)
        ]
        if suspects or not unsure:
            return suspects
        first = max(unsure, key=lambda t: estimator.upper(t.job_class))
        return [t for t in unsure if t.job_class == first.job_class]

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
        text = f"lets {task.job_id} run at {task.share:.0%}"
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
        if now_s < self._last_eviction_s() + MIN_EVICTION_INTERVAL_S:
            return
        movable = [
            task
            for task in self._tasks.values()
            if now_s >= task.first_seen_at_s + MIN_RUN_BEFORE_EVICTION_S
        ]
        why = ""
        chosen = self._costliest(movable)
        if chosen is not None and self._throttling_exhausted(
            neighbours, excess, now_s
        ):
            why = "throttling is not enough"
        else:
            chosen = self._overcharged(movable)
            why = "throttling costs more than moving"
        if chosen is None:
            return
        self._evict(chosen, why, excess, now_s, actions)

    def _costliest(self, tasks: list[ThrottledTask]) -> ThrottledTask | None:
        return max(
            tasks,
            key=lambda task: self.estimator.lower(task.job_class),
            default=None,
        )

    def _throttling_exhausted(
        self, neighbours: list[Neighbour], excess: float, now_s: float
    ) -> bool:
        if now_s < self._over_allowance_since_s + OVER_ALLOWANCE_GRACE_S:
            return False
        for neighbour in neighbours:
            weight = self.estimator.weight(neighbour.job_class)
            if weight * neighbour.share > weight * MIN_SHARE + 0.01:
                return False
        return excess > self.allowance

    def _overcharged(self, tasks: list[ThrottledTask]) -> ThrottledTask | None:
        most_s = EVICTION_COST_S * self.eviction_weight
        charged = [
            task
            for task in tasks
            if task.lost_s >= most_s and task.share < 1.0
        ]
        task = self._costliest(charged)
        if task is None:
            return None
        weight = self.estimator.lower(task.job_class)
        if weight <= self.allowance / 2:
            return None
        elsewhere = self._slowdowns_elsewhere.get(
            task.job_class, DEFAULT_SLOWDOWN
        )
        return (
            task if elsewhere < MAX_SLOWDOWN_RATIO_ELSEWHERE * weight else None
        )

    def _last_eviction_s(self) -> float:
        return self._evicted_at_s[-1] if self._evicted_at_s else -math.inf

    def _evict(
        self,
        task: ThrottledTask,
        why: str,
        excess: float,
        now_s: float,
        actions: list[Action],
    ) -> None:
        before = len(actions)
        reason = f"evicted: it slowed the service beside it, {why}"
        self._keeper.stop(task.job_id, task.attempt, reason, actions)
        if len(actions) == before:
            return
        self.evictions += 1
        self._evicting_job_id = task.job_id
        self._evicted_at_s.append(now_s)
        self._evicted_at_s = self._evicted_at_s[-EVICTIONS_TO_STOP:]
        fields = self._log_fields(task, excess)
        text = f"moves {task.job_id}: {why}"
        actions.append(Explain("guard", text, fields))

    def _update_state(self, now_s: float) -> None:
        recent = [
            moved_at_s
            for moved_at_s in self._evicted_at_s
            if now_s - moved_at_s < EVICTION_WINDOW_S
        ]
        over = now_s >= self._over_allowance_since_s + OVER_ALLOWANCE_GRACE_S
        if len(recent) >= EVICTIONS_TO_STOP and over:
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
            "vm": self._keeper.vm,
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
