"""A caller's request as an entry holds it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.request.header import Header
    from yuccapoint.version.route import Route


class ServiceRequest:
    """One request, kept until its answer is out.

    Attributes
    ----------
    request_id : str
        Unique over all entries; named in logs and answers.
    deadline_s : float
        When the answer has to be out, on the entry's monotonic clock.
    body_chunks : list of bytes
        The body as it arrived; held once.
    idempotent : bool
        Whether running the request twice does no harm.
    claimed_key_vms : list of str
        VMs whose agents claimed the request's key.
    """

    __slots__ = (
        "body_chunks",
        "customer",
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

    @property
    def scope(self) -> str:
        """Scope of the idempotency key: customers never meet."""
        return f"{self.customer}/{self.route.name}"
