"""The interference guard: protects a service from batch tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.job.actions import Explain

if TYPE_CHECKING:
    from yuccapoint.job.actions import Action
    from yuccapoint.job.task_keeper import TaskKeeper
    from yuccapoint.job.worker_events import UsageSample

BREACH_SLOWDOWN = 1.5
BREACHES_TO_EVICT = 3
SAMPLE_TOO_OLD_S = 10.0


class Guard:
    """Evicts the batch task whose company slows the service most.

    Each sample counts for the tasks that ran when it was taken. Without
    fresh samples the guard does nothing.
    """

    def __init__(self, keeper: TaskKeeper) -> None:
        self._keeper = keeper
        self._seen_until_s = 0.0
        self._breaches: dict[str, int] = {}
        self.evictions = 0

    def on_usage(
        self, samples: list[UsageSample], now_s: float
    ) -> list[Action]:
        """Weigh new samples.

        Parameters
        ----------
        samples : list of UsageSample
            Lagging measurements, oldest first.
        now_s : float
            Monotonic time in seconds.
        """
        for sample in samples:
            if sample.described_at_s <= self._seen_until_s:
                continue
            self._seen_until_s = sample.described_at_s
            if now_s - sample.described_at_s > SAMPLE_TOO_OLD_S:
                continue
            self._count(sample)
        return self._evict()

    def _count(self, sample: UsageSample) -> None:
        if sample.service_slowdown < BREACH_SLOWDOWN:
            self._breaches.clear()
            return
        for job_id in sample.job_ids:
            self._breaches[job_id] = self._breaches.get(job_id, 0) + 1

    def _evict(self) -> list[Action]:
        worst = max(
            self._breaches, key=lambda job: self._breaches[job], default=""
        )
        if self._breaches.get(worst, 0) < BREACHES_TO_EVICT:
            return []
        self._breaches.clear()
        task = self._keeper.tasks.get(worst)
        if task is None:
            return []
        actions: list[Action] = []
        reason = "evicted: the service beside it was slowed"
        self._keeper.stop(worst, task.attempt, reason, actions)
        if not actions:
            return []
        self.evictions += 1
        fields: dict[str, str | int | float] = {
            "vm": self._keeper.vm,
            "job": worst,
            "attempt": task.attempt,
            "breaches": BREACHES_TO_EVICT,
            "breach_slowdown": BREACH_SLOWDOWN,
        }
        actions.append(Explain("guard", f"evicts {worst}", fields))
        return actions
