"""A batch task as the service beside it feels it."""

from __future__ import annotations


class Neighbour:
    """A batch task beside a service.

    Attributes
    ----------
    share : float
        Share of its processors that the throttle leaves to the task.
    """

    __slots__ = ("job_class", "job_id", "share")

    def __init__(self, job_id: str, job_class: str, share: float) -> None:
        self.job_id = job_id
        self.job_class = job_class
        self.share = share
