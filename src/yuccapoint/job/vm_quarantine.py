"""Quarantine of VMs on which jobs fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.connection.messages import TaskReport

FAILED_JOBS_TO_QUARANTINE = 3
QUARANTINE_S = 15.0


class VmQuarantine:
    """Circuit breaker for a VM that fails every job.

    The VM is quarantined when several different jobs fail on it without a
    success in between. A job that has failed before says nothing about
    the VM and is not counted. After the quarantine the VM gets one probe
    job at a time: its success closes the circuit, its failure starts
    another quarantine. The duration does not grow, because faulty jobs
    that happen to be the probes would keep a healthy VM out for long.

    Attributes
    ----------
    until_s : float
        End of the quarantine on the monotonic clock.
    probing : bool
        Whether the VM gets one job at a time.
    """

    __slots__ = ("_failed_jobs", "_probe_job_id", "probing", "until_s")

    def __init__(self) -> None:
        self.until_s = 0.0
        self.probing = False
        self._probe_job_id = ""
        self._failed_jobs: set[str] = set()

    def allows(self, now_s: float) -> bool:
        """Return whether a job may be placed on the VM now."""
        return now_s >= self.until_s and not self._probe_job_id

    def on_claimed(self, job_id: str) -> None:
        """Record that a job was claimed for the VM."""
        if self.probing:
            self._probe_job_id = job_id

    def on_task_end(
        self, task: TaskReport, now_s: float, *, failed_before: bool
    ) -> bool:
        """Record the end of a job; return whether it starts a quarantine.

        Parameters
        ----------
        task : TaskReport
            The job's attempt, with its outcome.
        now_s : float
            Monotonic time in seconds.
        failed_before : bool
            Whether the job has failed before.
        """
        if task.outcome == "done":
            self.on_success()
            return False
        if task.outcome != "failed" or failed_before:
            self.on_inconclusive_end(task.job_id)
            return False
        return self.on_failure(task.job_id, now_s)

    def on_inconclusive_end(self, job_id: str) -> None:
        """Record the end of a job that is no evidence about the VM."""
        if self._probe_job_id == job_id:
            self._probe_job_id = ""

    def on_success(self) -> None:
        """Record a success."""
        self._failed_jobs.clear()
        self.probing = False
        self._probe_job_id = ""

    def on_failure(self, job_id: str, now_s: float) -> bool:
        """Record a failure; return whether it starts a quarantine."""
        self._failed_jobs.add(job_id)
        if (
            not self.probing
            and len(self._failed_jobs) < FAILED_JOBS_TO_QUARANTINE
        ):
            return False
        if now_s < self.until_s:
            return False
        self.until_s = now_s + QUARANTINE_S
        self.probing = True
        self._probe_job_id = ""
        return True
