"""The entry that leads a VM."""

from __future__ import annotations

FAILED_JOBS_TO_SUSPECT_VM = 3


class VmLeadership:
    """The entry that leads a VM, its term and the VM's jobs.

    Attributes
    ----------
    failed_jobs : list of str
        Different jobs that failed on the VM since its last success.
    """

    __slots__ = ("entry", "failed_jobs", "job_ids", "pool", "term")

    def __init__(self, entry: str, term: int, pool: str) -> None:
        self.entry = entry
        self.term = term
        self.pool = pool
        self.job_ids: set[str] = set()
        self.failed_jobs: list[str] = []

    @property
    def suspected(self) -> bool:
        """Whether job failures are attributed to the VM."""
        return len(self.failed_jobs) >= FAILED_JOBS_TO_SUSPECT_VM
