"""A batch job as its team submitted it."""

from __future__ import annotations

import msgspec

from yuccapoint.job.size import Size


class Job(msgspec.Struct, frozen=True, kw_only=True):
    """What a team asks for.

    Attributes
    ----------
    job_id : str
        Chosen by the submitter; a repeat with the same id is the same job.
    team, customer : str
        Whom the job is for.
    job_class : str
        Jobs of one class behave alike; estimates are learned by class.
    pool : str
        Pool whose VMs may run the job.
    urgent : bool
        Whether the job goes before those that are not urgent.
    size : Size
        What is committed for the job and enforced by the worker.
    run_time_s : float
        Declared run time in seconds; known to be far off.
    idempotent : bool
        Whether the job may start again from nothing.
    finish_by_ms : int
        Wall-clock deadline in milliseconds since the epoch; 0 is none.
    command : str
        What the worker runs.
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
