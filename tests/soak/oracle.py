"""Checks the guarantees against what workers and callers observe."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING

from soak.kept_connection import LOSS_SLACK_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from soak.soak_job import SoakJob

# Without faults, no task starts later than this after its job's cancellation
# was acknowledged; the allowance covers the longest faults of the soak.
CANCEL_TIMEOUT_S = 3.0
FAULT_ALLOWANCE_S = 12.0
# An accepted job is visible at all entries after this time.
VISIBILITY_TIMEOUT_S = 3.0
# A count of pending jobs may be this old.
PENDING_DELAY_S = 2.0


class Oracle:
    """Collects violations of the guarantees.

    Parameters
    ----------
    clock : callable, optional
        Monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.jobs: dict[str, SoakJob] = {}
        self.violations: list[str] = []
        self.starts = 0
        self._running: dict[str, object] = {}
        # When the last run of a task ended.
        self._last_run_ended_at_s: dict[str, float] = {}
        self._done: set[str] = set()
        self._acknowledged_done: set[str] = set()
        self._begun: set[str] = set()
        # Ends that were not acknowledged, by worker and number.
        self._ends: dict[tuple[int, int], tuple[str, str]] = {}
        # An end before a lapse of its worker's lease allows a later start.
        self._lapsed_ends: set[tuple[int, int]] = set()
        # Ends whose tasks started again before the acknowledgement.
        self._restarted_ends: set[tuple[int, int]] = set()

    def on_start(
        self,
        body: dict[str, Any],
        worker: object,
        sent_at_s: float | None = None,
    ) -> None:
        """Check a task start when a worker starts the task.

        Parameters
        ----------
        body : dict
            Body of the call.
        worker : object
            Worker that starts the task.
        sent_at_s : float, optional
            Monotonic time of the call, where it was executed late.
        """
        task = body["Task"]
        self.starts += 1
        job = self.job_of(task)
        if job is None:
            self.record_violation("UNASKED", f"{task}: no caller submitted it")
            return
        if body["Spec"] != job.payload:
            self.record_violation(
                "UNASKED", f"{task}: started with another payload"
            )
        if task in self._running:
            self.record_violation("TWICE", f"{task} runs on two workers")
        if task in self._acknowledged_done:
            self.record_violation(
                "TWICE", f"{task} starts after its end was acknowledged"
            )
        self._begun.add(job.job_id)
        for key, end in self._ends.items():
            if end == (task, "done"):
                self._restarted_ends.add(key)
        step = int(task.split(".")[2])
        for index in range(job.steps[step - 1] if step else 0):
            if f"{job.job_id}.0.{step - 1}.{index}" not in self._done:
                self.record_violation(
                    "ORDER", f"{task} starts before step {step - 1}"
                )
        if job.cancelled_at_s is not None:
            late_s = (sent_at_s or self.clock()) - job.cancelled_at_s
            if late_s > CANCEL_TIMEOUT_S + FAULT_ALLOWANCE_S:
                self.record_violation(
                    "UNASKED", f"{task}: cancelled {late_s:.1f} s ago"
                )
        self._running[task] = worker

    def on_end(
        self,
        task: str,
        worker: object,
        how: str,
        end: tuple[int, int] | None = None,
    ) -> None:
        """Record the end of a task run."""
        if self._running.get(task) is worker:
            del self._running[task]
            self._last_run_ended_at_s[task] = self.clock()
        if how == "done":
            self._done.add(task)
        if end is not None:
            self._ends[id(worker), end[0]] = (task, how)

    def on_crash(self, worker: object, tasks: list[str]) -> None:
        """Record that a worker lost its running tasks and pending ends."""
        for task in tasks:
            self.on_end(task, worker, "crashed")
        for key in self._ends_of(worker):
            del self._ends[key]
            self._lapsed_ends.discard(key)
            self._restarted_ends.discard(key)

    def on_lapse(self, worker: object) -> None:
        """Record that a worker's lease lapsed with ends that still wait."""
        self._lapsed_ends.update(self._ends_of(worker))

    def on_acknowledged(self, worker: object, through: int) -> None:
        """Record that an agent acknowledged the ends up to a number."""
        for key in self._ends_of(worker):
            if key[1] > through:
                continue
            task, how = self._ends.pop(key)
            if how != "done" or key in self._lapsed_ends:
                continue
            self._acknowledged_done.add(task)
            if key in self._restarted_ends:
                self.record_violation(
                    "TWICE", f"{task} started before its end was acknowledged"
                )

    def _ends_of(self, worker: object) -> list[tuple[int, int]]:
        return [key for key in self._ends if key[0] == id(worker)]

    def on_state(
        self, job: SoakJob, entry: str, status: int, state: str
    ) -> None:
        """Check a job state that an entry reported to a caller."""
        if status == 410 and job.accepted_at_s is not None:
            age_s = self.clock() - job.accepted_at_s
            if age_s > VISIBILITY_TIMEOUT_S:
                self.record_violation(
                    "LOST", f"{job.job_id}, {age_s:.1f} s old, is unknown"
                )
        # Another entry may lag, but the state at one entry never reverts.
        lags = state in ("running", "pending")
        before = bool(job.completed_at)
        if lags:
            before = entry in job.completed_at
        if before and status == 200 and state != "completed":
            self.record_violation(
                "MIXED", f"{job.job_id} was completed and is now {state}"
            )
        if state == "completed":
            job.completed_at.add(entry)
            for step, tasks in enumerate(job.steps):
                for index in range(tasks):
                    task = f"{job.job_id}.0.{step}.{index}"
                    if task not in self._done:
                        self.record_violation(
                            "MIXED",
                            f"{task} is not done but its job completed",
                        )
        if state == "cancelled" and not job.cancel_attempted:
            self.record_violation(
                "LOST", f"{job.job_id} was cancelled without a request"
            )
        if state == "failed":
            why = "without a failed run"
            if job.long_running:
                why = "though long-running jobs are not given up"
            self.record_violation("LOST", f"{job.job_id} failed {why}")

    def ending_jobs(self) -> list[SoakJob]:
        """Return the jobs whose tasks end by themselves."""
        return [job for job in self.jobs.values() if not job.long_running]

    def job_of(self, task: str) -> SoakJob | None:
        """Return the job of a task, if a caller submitted it."""
        return self.jobs.get(task.partition(".")[0])

    def is_running(self, task: str) -> bool:
        """Whether a worker runs a task."""
        return task in self._running

    def last_run_ended_at_s(self, task: str) -> float | None:
        """Return when the last run of a task ended, if one has."""
        return self._last_run_ended_at_s.get(task)

    def cpu_in_use_milli(self, worker: object) -> int:
        """Return the CPU that the running tasks of a worker requested."""
        jobs = [
            self.job_of(task)
            for task, runs_at in self._running.items()
            if runs_at is worker
        ]
        return sum(job.cpu_milli for job in jobs if job is not None)

    def waiting_jobs(self) -> int:
        """Count the jobs that an entry has to report as pending by now."""
        until_s = self.clock() - VISIBILITY_TIMEOUT_S - PENDING_DELAY_S
        return sum(
            job.accepted_at_s is not None
            and job.accepted_at_s < until_s
            and not job.cancel_attempted
            and job.job_id not in self._begun
            for job in self.jobs.values()
        )

    def on_pending(self, waiting: int, entry: str, pending: int) -> None:
        """Check a count of pending jobs that an entry reported.

        Parameters
        ----------
        waiting : int
            Jobs that waited all the time of the call.
        entry : str
            Name of the entry.
        pending : int
            The count that it reported.
        """
        if 2 * pending < waiting:
            self.record_violation(
                "MIXED", f"{entry} counts {pending} of {waiting} pending jobs"
            )

    def on_unreadable(self, what: str, status: int) -> None:
        """Record an answer that tells a caller nothing."""
        self.record_violation("MIXED", f"{what} got status {status}")

    def on_close(self, entry: str, unanswered_for_s: float) -> None:
        """Check how an entry that stops as planned closed a connection.

        Parameters
        ----------
        entry : str
            Name of the entry.
        unanswered_for_s : float
            How long before the close a request without an answer was sent.
        """
        if unanswered_for_s > LOSS_SLACK_S:
            self.record_violation(
                "LOST",
                f"{entry} closed a connection {unanswered_for_s:.2f} s after"
                " a request on it",
            )

    def check_refusals(self) -> None:
        """Check that no job runs whose submissions were all refused."""
        for task in [*self._running, *self._done]:
            job = self.job_of(task)
            if (
                job is not None
                and not job.accepted
                and not job.may_be_accepted
            ):
                self.record_violation(
                    "REFUSED", f"{task} runs though it was refused"
                )

    def record_violation(self, rule: str, what: str) -> None:
        """Record a violation of a rule."""
        self.violations.append(f"{rule}: {what}")
