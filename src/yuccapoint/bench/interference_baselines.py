"""Guards that the interference guard is measured against."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.job.guard import Guard

if TYPE_CHECKING:
    from yuccapoint.job.actions import Action
    from yuccapoint.job.interference.neighbour import Neighbour
    from yuccapoint.job.task_manager import TaskManager
    from yuccapoint.job.worker_events import UsageSample

FIRST_SLOWDOWN = 1.5
FIRST_BREACHES = 3
BREACH_SLOWDOWN = 1.25
TOO_OLD_S = 10.0


class BreachEvictor:
    """Evicts the newest task at each breach of the target.

    Samples that describe the time before its last eviction do not count.
    """

    def __init__(self, keeper: TaskManager) -> None:
        self._keeper = keeper
        self._seen_until_s = 0.0

    def on_usage(
        self, samples: list[UsageSample], now_s: float
    ) -> list[Action]:
        """Weigh new samples."""
        for sample in samples:
            if sample.described_at_s <= self._seen_until_s:
                continue
            self._seen_until_s = sample.described_at_s
            if sample.service_slowdown < BREACH_SLOWDOWN:
                continue
            self._seen_until_s = now_s
            return self._evict()
        return []

    def _evict(self) -> list[Action]:
        actions: list[Action] = []
        for task in reversed(list(self._keeper.tasks.values())):
            if task.outcome or task.stop_reason:
                continue
            self._keeper.stop(task.job_id, task.attempt, "breach", actions)
            return actions
        return actions


class ArrivalGuard(Guard):
    """The guard, but samples are credited to when they arrive."""

    def neighbours_at(
        self, sample: UsageSample, now_s: float
    ) -> list[Neighbour] | None:
        """Give who runs as the sample arrives."""
        del sample
        return self.neighbours(now_s)


class FirstGuard:
    """Evicts the task that was present at most of the breaches."""

    def __init__(self, keeper: TaskManager) -> None:
        self._keeper = keeper
        self._seen_until_s = 0.0
        self._breaches: dict[str, int] = {}

    def on_usage(
        self, samples: list[UsageSample], now_s: float
    ) -> list[Action]:
        """Weigh new samples."""
        for sample in samples:
            if sample.described_at_s <= self._seen_until_s:
                continue
            self._seen_until_s = sample.described_at_s
            if now_s - sample.described_at_s > TOO_OLD_S:
                continue
            self._count(sample)
        return self._evict()

    def _count(self, sample: UsageSample) -> None:
        if sample.service_slowdown < FIRST_SLOWDOWN:
            self._breaches.clear()
            return
        for job_id in sample.job_ids:
            self._breaches[job_id] = self._breaches.get(job_id, 0) + 1

    def _evict(self) -> list[Action]:
        breaches = self._breaches
        worst = max(breaches, key=lambda job: breaches[job], default="")
        if breaches.get(worst, 0) < FIRST_BREACHES:
            return []
        breaches.clear()
        task = self._keeper.tasks.get(worst)
        actions: list[Action] = []
        if task is not None:
            self._keeper.stop(worst, task.attempt, "breach", actions)
        return actions
