"""A batch task that shares a VM with a service."""

from __future__ import annotations


class Neighbour:
    """A batch task that runs on the VM of a service.

    Attributes
    ----------
    share : float
        Share of its requested processors that the task may use.
    """

    __slots__ = ("job_class", "job_id", "share")

    def __init__(self, job_id: str, job_class: str, share: float) -> None:
        self.job_id = job_id
        self.job_class = job_class
        self.share = share
