"""State of one job, derived from the log."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.job.job import Job


class JobState(enum.Enum):
    """State of a job; the last three are final."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the state is final."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class JobStep:
    """One transition in the history of a job, shown to operators."""

    __slots__ = ("at_ms", "text")

    def __init__(self, at_ms: int, text: str) -> None:
        self.at_ms = at_ms
        self.text = text


class JobEntry:
    """A job and the state that every reader of the log derives for it.

    Attributes
    ----------
    attempt : int
        Number of the latest attempt; 0 before the first claim.
    term : int
        Term of the VM under which the latest attempt was claimed.
    failures : int
        Number of failed attempts, whatever the cause.
    failed_vms : list of str
        VMs on which an attempt failed through the job's own fault.
    resumes : int
        Number of claims after the first.
    """

    __slots__ = (
        "attempt",
        "cancelling",
        "checkpoint",
        "failed_vms",
        "failures",
        "job",
        "queued_at_ms",
        "resumes",
        "state",
        "steps",
        "submitted_at_ms",
        "term",
        "vm",
    )

    def __init__(self, job: Job, at_ms: int) -> None:
        self.job = job
        self.state = JobState.QUEUED
        self.attempt = 0
        self.vm = ""
        self.term = 0
        self.checkpoint = ""
        self.failures = 0
        self.failed_vms: list[str] = []
        self.resumes = 0
        self.cancelling = False
        self.submitted_at_ms = at_ms
        self.queued_at_ms = at_ms
        self.steps: list[JobStep] = []

    def note(self, at_ms: int, text: str) -> None:
        """Append a step and drop the oldest but the first when full."""
        self.steps.append(JobStep(at_ms, text))
        if len(self.steps) > MAX_STEPS:
            del self.steps[1]


MAX_STEPS = 40
