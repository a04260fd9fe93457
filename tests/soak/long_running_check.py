"""Checks that long-running tasks are started again in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint_standins.platform_worker import CAPACITY_CPU_MILLI

if TYPE_CHECKING:
    from collections.abc import Iterable

    from soak.oracle import Oracle
    from soak.soak_job import SoakJob
    from soak.soak_worker import SoakWorker

# The bounds of the users' rule LOST: a task waits unlawfully after
# MAX_WAIT_S, which counts from RESTART_DELAY_S after its last run and from
# SETTLING_S after the last disturbance.
MAX_WAIT_S = 3.0
SETTLING_S = 4.0
RESTART_DELAY_S = 6.0
# There has to be room for this many times the task.
ROOM_FACTOR = 2
# Workers that stood still for longer than this were disturbed.
MAX_SAMPLE_INTERVAL_S = 1.0


class LongRunningCheck:
    """Reports long-running tasks that wait though there is room for them.

    Parameters
    ----------
    oracle : Oracle
        Knows the jobs and their runs, and collects the violations.
    """

    def __init__(self, oracle: Oracle) -> None:
        self._oracle = oracle
        self._disturbed_at_s = oracle.clock()
        self._sampled_at_s = oracle.clock()
        # By CPU: since when tasks of this size have had room.
        self._room_since_s: dict[int, float] = {}
        # Tasks whose present wait has been reported.
        self._reported: set[str] = set()

    @property
    def calm_s(self) -> float:
        """Time since the last disturbance."""
        return self._oracle.clock() - self._disturbed_at_s

    def on_disturbance(self) -> None:
        """Record that something was disturbed until now."""
        self._disturbed_at_s = self._oracle.clock()

    def sample(self, workers: Iterable[SoakWorker]) -> None:
        """Check all long-running tasks.

        Parameters
        ----------
        workers : iterable of SoakWorker
            The workers that may run tasks now.
        """
        now_s = self._oracle.clock()
        if now_s - self._sampled_at_s > MAX_SAMPLE_INTERVAL_S:
            self.on_disturbance()
        self._sampled_at_s = now_s
        free_milli = [
            CAPACITY_CPU_MILLI - self._oracle.cpu_in_use_milli(worker)
            for worker in workers
        ]
        for job in self._oracle.jobs.values():
            if not job.long_running:
                continue
            fits = sum(max(free, 0) // job.cpu_milli for free in free_milli)
            if fits < ROOM_FACTOR:
                self._room_since_s.pop(job.cpu_milli, None)
            else:
                self._room_since_s.setdefault(job.cpu_milli, now_s)
            for task in job.tasks:
                self._check(job, task, now_s)

    def _check(self, job: SoakJob, task: str, now_s: float) -> None:
        if self._oracle.is_running(task):
            self._reported.discard(task)
            return
        room_since_s = self._room_since_s.get(job.cpu_milli)
        if job.accepted_at_s is None or job.cancel_attempted:
            return
        if room_since_s is None or task in self._reported:
            return
        due_s = max(
            job.accepted_at_s, room_since_s, self._disturbed_at_s + SETTLING_S
        )
        ended_at_s = self._oracle.last_run_ended_at_s(task)
        if ended_at_s is not None:
            due_s = max(due_s, ended_at_s + RESTART_DELAY_S)
        if now_s - due_s < MAX_WAIT_S:
            return
        self._reported.add(task)
        since = "never ran"
        if ended_at_s is not None:
            since = f"ended {now_s - ended_at_s:.1f} s ago"
        self._oracle.record_violation(
            "LOST",
            f"{task} is long-running, {since} and does not run, with room "
            f"for it ({self.calm_s:.1f} s without disturbance)",
        )
