"""A job of the soak."""

from __future__ import annotations

CPU_MILLI = 500
LONG_RUNNING_CPU_MILLI = 250


class SoakJob:
    """A job and what its caller observed of it.

    Attributes
    ----------
    mean_run_s : float, optional
        Mean time after which a run of a long-running task fails: 0 where it
        fails at once on each worker, infinite where it never fails. None for
        a job whose tasks end by themselves.
    """

    def __init__(
        self,
        job_id: str,
        payload: str,
        steps: list[int],
        mean_run_s: float | None = None,
    ) -> None:
        self.job_id = job_id
        self.payload = payload
        self.steps = steps
        self.mean_run_s = mean_run_s
        self.accepted_at_s: float | None = None
        self.may_be_accepted = False
        # Entries that reported the job as completed.
        self.completed_at: set[str] = set()
        self.cancelled_at_s: float | None = None
        self.cancel_attempted = False

    @property
    def accepted(self) -> bool:
        return self.accepted_at_s is not None

    @property
    def long_running(self) -> bool:
        """Whether the tasks run until the job is cancelled."""
        return self.mean_run_s is not None

    @property
    def cpu_milli(self) -> int:
        """CPU that each task requests."""
        return LONG_RUNNING_CPU_MILLI if self.long_running else CPU_MILLI

    @property
    def tasks(self) -> list[str]:
        """Names of all tasks."""
        return [
            f"{self.job_id}.0.{step}.{index}"
            for step, count in enumerate(self.steps)
            for index in range(count)
        ]
