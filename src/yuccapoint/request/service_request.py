"""A caller's request at an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.request.header import Header
    from yuccapoint.version.route import Route


class ServiceRequest:
    """One request, kept until its response is sent.

    Attributes
    ----------
    request_id : str
        Id that is unique over all entries, for logs and responses.
    deadline_s : float
        Time by which the response must be sent, on the entry's monotonic
        clock.
    body_chunks : list of bytes
        The body as it arrived, without further copies.
    idempotent : bool
        Whether the request can safely run twice.
    claimed_key_vms : list of str
        VMs whose agents accepted the claim of the request's key.
    tried_endpoints : set of str
        Keys of the endpoints that the request was sent to.
    failed_runs : int
        Attempts that may have run and got no whole response.
    """

    __slots__ = (
        "body_chunks",
        "customer",
        "failed_runs",
        "deadline_s",
        "headers",
        "idempotent",
        "key",
        "claimed_key_vms",
        "method",
        "request_id",
        "route",
        "started_s",
        "target",
        "tried_endpoints",
    )

    def __init__(
        self,
        request_id: str,
        route: Route,
        customer: str,
        method: str,
        target: str,
        headers: list[Header],
        started_s: float,
    ) -> None:
        self.request_id = request_id
        self.route = route
        self.customer = customer
        self.method = method
        self.target = target
        self.headers = headers
        self.started_s = started_s
        self.deadline_s = started_s + route.timeout_s
        self.body_chunks: list[bytes] = []
        self.idempotent = route.idempotent
        self.key = ""
        self.claimed_key_vms: list[str] = []
        self.tried_endpoints: set[str] = set()
        self.failed_runs = 0

    @property
    def scope(self) -> str:
        """Scope of the idempotency key, so customers can't collide."""
        return f"{self.customer}/{self.route.name}"
