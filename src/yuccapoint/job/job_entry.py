"""What the log's prefix says of one job."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.job.job import Job


class JobState(enum.Enum):
    """States of a job; the last three are final."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the job is over."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class JobStep:
    """One transition of a job, kept to explain it."""

    __slots__ = ("at_ms", "text")

    def __init__(self, at_ms: int, text: str) -> None:
        self.at_ms = at_ms
        self.text = text


class JobEntry:
    """A job and its state, as every reader of the log derives it.

    Attributes
    ----------
    attempt : int
        Number of the newest attempt; 0 before the first claim.
    term : int
        Term of the VM under which the newest attempt was claimed.
    failures : int
        Attempts that failed, for whatever reason.
    failed_vms : list of str
        VMs on which an attempt failed by the job's own fault.
    resumes : int
        Claims that followed a release.
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
        """Keep a step, dropping the oldest beyond a bound."""
        self.steps.append(JobStep(at_ms, text))
        if len(self.steps) > MAX_STEPS:
            del self.steps[1]


MAX_STEPS = 40
