"""Checks the guarantees against what workers and callers observe."""

from __future__ import annotations

import time
from typing import Any

# Without faults, no task starts later than this after its job's cancellation
# was acknowledged; the allowance covers the longest faults of the soak.
CANCEL_TIMEOUT_S = 3.0
FAULT_ALLOWANCE_S = 12.0
# An accepted job is visible at all entries after this time.
VISIBILITY_TIMEOUT_S = 3.0


class SoakJob:
    """A job and what its caller observed of it."""

    def __init__(self, job_id: str, payload: str, steps: list[int]) -> None:
        self.job_id = job_id
        self.payload = payload
        self.steps = steps
        self.accepted_at_s: float | None = None
        self.may_be_accepted = False
        # Entries that reported the job as completed.
        self.completed_at: set[str] = set()
        self.cancelled_at_s: float | None = None
        self.cancel_attempted = False

    @property
    def accepted(self) -> bool:
        return self.accepted_at_s is not None


class Oracle:
    """Collects violations of the guarantees."""

    def __init__(self) -> None:
        self.jobs: dict[str, SoakJob] = {}
        self.violations: list[str] = []
        self.starts = 0
        self._running: dict[str, object] = {}
        self._done: set[str] = set()
        self._acknowledged_done: set[str] = set()
        self._ends: dict[tuple[int, int], tuple[str, str]] = {}

    def on_start(self, body: dict[str, Any], worker: object) -> None:
        """Check a task start when a worker starts the task."""
        task = body["Task"]
        self.starts += 1
        job = self.jobs.get(task.partition(".")[0])
        if job is None:
            self._record_violation(
                "UNASKED", f"{task}: no caller submitted it"
            )
            return
        if body["Spec"] != job.payload:
            self._record_violation(
                "UNASKED", f"{task}: started with another payload"
            )
        if task in self._running:
            self._record_violation("TWICE", f"{task} runs on two workers")
        if task in self._acknowledged_done:
            self._record_violation(
                "TWICE", f"{task} starts after its end was acknowledged"
            )
        step = int(task.split(".")[2])
        for index in range(job.steps[step - 1] if step else 0):
            if f"{job.job_id}.0.{step - 1}.{index}" not in self._done:
                self._record_violation(
                    "ORDER", f"{task} starts before step {step - 1}"
                )
        if job.cancelled_at_s is not None:
            late_s = time.monotonic() - job.cancelled_at_s
            if late_s > CANCEL_TIMEOUT_S + FAULT_ALLOWANCE_S:
                self._record_violation(
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
        if how == "done":
            self._done.add(task)
        if end is not None:
            self._ends[id(worker), end[0]] = (task, how)

    def on_crash(self, worker: object, tasks: list[str]) -> None:
        """Record that a worker lost its running tasks and pending ends."""
        for task in tasks:
            self.on_end(task, worker, "crashed")
        for key in [key for key in self._ends if key[0] == id(worker)]:
            del self._ends[key]

    def on_acknowledged(self, worker: object, through: int) -> None:
        """Record that an agent acknowledged the ends up to a number."""
        number = through
        while (end := self._ends.pop((id(worker), number), None)) is not None:
            if end[1] == "done":
                self._acknowledged_done.add(end[0])
            number -= 1

    def on_state(
        self, job: SoakJob, entry: str, status: int, state: str
    ) -> None:
        """Check a job state that an entry reported to a caller."""
        if status == 410 and job.accepted_at_s is not None:
            age_s = time.monotonic() - job.accepted_at_s
            if age_s > VISIBILITY_TIMEOUT_S:
                self._record_violation(
                    "LOST", f"{job.job_id}, {age_s:.1f} s old, is unknown"
                )
        # Another entry may lag, but the state at one entry never reverts.
        lags = state in ("running", "pending")
        before = bool(job.completed_at)
        if lags:
            before = entry in job.completed_at
        if before and status == 200 and state != "completed":
            self._record_violation(
                "MIXED", f"{job.job_id} was completed and is now {state}"
            )
        if state == "completed":
            job.completed_at.add(entry)
            for step, tasks in enumerate(job.steps):
                for index in range(tasks):
                    task = f"{job.job_id}.0.{step}.{index}"
                    if task not in self._done:
                        self._record_violation(
                            "MIXED",
                            f"{task} is not done but its job completed",
                        )
        if state == "cancelled" and not job.cancel_attempted:
            self._record_violation(
                "LOST", f"{job.job_id} was cancelled without a request"
            )
        if state == "failed":
            self._record_violation(
                "LOST", f"{job.job_id} failed without a failed run"
            )

    def check_refusals(self) -> None:
        """Check that no job runs whose submissions were all refused."""
        for task in [*self._running, *self._done]:
            job = self.jobs.get(task.partition(".")[0])
            if (
                job is not None
                and not job.accepted
                and not job.may_be_accepted
            ):
                self._record_violation(
                    "REFUSED", f"{task} runs though it was refused"
                )

    def _record_violation(self, rule: str, what: str) -> None:
        self.violations.append(f"{rule}: {what}")
