"""Specification of a batch job."""

from __future__ import annotations

import msgspec

from yuccapoint.job.size import Size


class Job(msgspec.Struct, frozen=True, kw_only=True):
    """A batch job as submitted by its team.

    Attributes
    ----------
    job_id : str
        Chosen by the submitter; resubmitting an id does not create a
        second job.
    team, customer : str
        Owner of the job, for quotas and fair queueing.
    job_class : str
        Groups jobs with similar behaviour; interference is estimated by
        class.
    pool : str
        Pool whose VMs may run the job.
    urgent : bool
        Whether the job is scheduled before jobs that are not urgent.
    size : Size
        Resources reserved for the job and enforced by the worker.
    run_time_s : float
        Declared run time in seconds; an unreliable estimate.
    idempotent : bool
        Whether the job may be restarted from the beginning.
    finish_by_ms : int
        Wall-clock deadline in milliseconds since the epoch; 0 if
        there is none.
    command : str
        Command that the worker runs.
    """

    job_id: str
    team: str
    customer: str
    job_class: str
    pool: str
    size: Size
    run_time_s: float
    urgent: bool = False
    idempotent: bool = True
    finish_by_ms: int = 0
    command: str = ""
