"""A request for one slot of an endpoint."""

from __future__ import annotations


class SlotRequest:
    """A request that is queued for a slot or occupies one."""

    __slots__ = ("customer", "deadline_s", "request_key", "started_s")

    def __init__(
        self, request_key: str, customer: str, deadline_s: float
    ) -> None:
        self.request_key = request_key
        self.customer = customer
        self.deadline_s = deadline_s
        self.started_s = 0.0
