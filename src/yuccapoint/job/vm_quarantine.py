"""Whether a VM may be given work, by what became of its tasks."""

from __future__ import annotations

FAILURES_TO_QUARANTINE = 3
QUARANTINE_S = 15.0


class VmQuarantine:
    """Quarantines a VM that fails everything and probes it back.

    Different jobs that fail without a success between them quarantine the
    VM; a job that failed before tells nothing of the VM. After the
    quarantine it is given one job; its success ends the suspicion, its
    failure begins another quarantine. That does not grow, so that bad jobs
    that meet the probes can't keep a good VM out for long.

    Attributes
    ----------
    until_s : float
        Until then the VM is given nothing.
    probing : bool
        Whether the VM is given one job at a time.
    """

    __slots__ = ("_failed_jobs", "_probe_job_id", "probing", "until_s")

    def __init__(self) -> None:
        self.until_s = 0.0
        self.probing = False
        self._probe_job_id = ""
        self._failed_jobs: set[str] = set()

    def allows(self, now_s: float) -> bool:
        """Tell whether the VM may be given a job now."""
        return now_s >= self.until_s and not self._probe_job_id

    def on_claimed(self, job_id: str) -> None:
        """Take note that the VM was given a job."""
        if self.probing:
            self._probe_job_id = job_id

    def on_inconclusive_end(self, job_id: str) -> None:
        """Take note that a job ended without telling of the VM."""
        if self._probe_job_id == job_id:
            self._probe_job_id = ""

    def on_success(self) -> None:
        """Take note of a success."""
        self._failed_jobs.clear()
        self.probing = False
        self._probe_job_id = ""

    def on_failure(self, job_id: str, now_s: float) -> bool:
        """Take note of a failure; True if it quarantines the VM."""
        self._failed_jobs.add(job_id)
        if (
            not self.probing
            and len(self._failed_jobs) < FAILURES_TO_QUARANTINE
        ):
            return False
        if now_s < self.until_s:
            return False
        self.until_s = now_s + QUARANTINE_S
        self.probing = True
        self._probe_job_id = ""
        return True
