"""Baseline guards to compare the interference guard with."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.job.guard import Guard

if TYPE_CHECKING:
    from yuccapoint.job.actions import Action
    from yuccapoint.job.interference.neighbour import Neighbour
    from yuccapoint.job.task_manager import TaskManager
    from yuccapoint.job.worker_events import UsageSample

BREACH_COUNT_SLOWDOWN = 1.5
MIN_BREACHES = 3
EVICTION_SLOWDOWN = 1.25
MAX_SAMPLE_AGE_S = 10.0


class BreachEvictor:
    """Evicts the newest task at each breach of the slowdown target.

    Samples that describe the time before the last eviction are ignored.
    """

    def __init__(self, task_manager: TaskManager) -> None:
        self._task_manager = task_manager
        self._processed_until_s = 0.0

    def on_usage(
        self, samples: list[UsageSample], now_s: float
    ) -> list[Action]:
        """Process new samples and return the resulting actions."""
        for sample in samples:
            if sample.described_at_s <= self._processed_until_s:
                continue
            self._processed_until_s = sample.described_at_s
            if sample.service_slowdown < EVICTION_SLOWDOWN:
                continue
            self._processed_until_s = now_s
            return self._evict_task()
        return []

    def _evict_task(self) -> list[Action]:
        actions: list[Action] = []
        for task in reversed(list(self._task_manager.tasks.values())):
            if task.outcome or task.stop_reason:
                continue
            self._task_manager.stop(
                task.job_id, task.attempt, "breach", actions
            )
            return actions
        return actions


class ArrivalGuard(Guard):
    """The guard, but samples are attributed to their time of arrival."""

    def neighbours_at(
        self, sample: UsageSample, now_s: float
    ) -> list[Neighbour] | None:
        """Return the neighbours at the arrival of the sample."""
        del sample
        return self.neighbours(now_s)


class BreachCountGuard:
    """Evicts the task present at the most of several breaches in a row."""

    def __init__(self, task_manager: TaskManager) -> None:
        self._task_manager = task_manager
        self._processed_until_s = 0.0
        self._breaches: dict[str, int] = {}

    def on_usage(
        self, samples: list[UsageSample], now_s: float
    ) -> list[Action]:
        """Process new samples and return the resulting actions."""
        for sample in samples:
            if sample.described_at_s <= self._processed_until_s:
                continue
            self._processed_until_s = sample.described_at_s
            if now_s - sample.described_at_s > MAX_SAMPLE_AGE_S:
                continue
            self._count_breach(sample)
        return self._evict_task()

    def _count_breach(self, sample: UsageSample) -> None:
        if sample.service_slowdown < BREACH_COUNT_SLOWDOWN:
            self._breaches.clear()
            return
        for job_id in sample.job_ids:
            self._breaches[job_id] = self._breaches.get(job_id, 0) + 1

    def _evict_task(self) -> list[Action]:
        breaches = self._breaches
        worst = max(breaches, key=lambda job: breaches[job], default="")
        if breaches.get(worst, 0) < MIN_BREACHES:
            return []
        breaches.clear()
        task = self._task_manager.tasks.get(worst)
        actions: list[Action] = []
        if task is not None:
            self._task_manager.stop(worst, task.attempt, "breach", actions)
        return actions
