"""Frames of the request session between an entry and an agent."""

from __future__ import annotations

import msgspec

from yuccapoint.request.header import Header


class SessionHandshake(msgspec.Struct, frozen=True, tag=1, array_like=True):
    """First frame in each direction: the sender's name and incarnation.

    Attributes
    ----------
    confirms_probes : bool
        Whether the sender answers a ``SessionProbe``; former versions close
        the session on one.
    """

    name: str
    incarnation: int
    confirms_probes: bool = False


class RequestHead(msgspec.Struct, frozen=True, tag=2, array_like=True):
    """A request with the first part of its body.

    Attributes
    ----------
    request_id : int
        Unique within the session.
    remaining_s : float
        Time left until the deadline when the frame was sent.
    key : str
        Idempotency key; empty for none.
    body : bytes
        First part of the body.
    last : bool
        Whether ``body`` is the complete body.
    """

    request_id: int
    service: str
    endpoint: str
    route: str
    customer: str
    method: str
    target: str
    headers: list[Header]
    remaining_s: float
    idempotent: bool
    key: str
    body: bytes
    last: bool


class RequestChunk(msgspec.Struct, frozen=True, tag=3, array_like=True):
    """The next part of a request's body."""

    request_id: int
    data: bytes
    last: bool


class RequestCancel(msgspec.Struct, frozen=True, tag=4, array_like=True):
    """The response is no longer needed."""

    request_id: int


class ResponseHead(msgspec.Struct, frozen=True, tag=5, array_like=True):
    """An endpoint's response, with the first part of its body."""

    request_id: int
    status: int
    reason: str
    headers: list[Header]
    in_flight: int
    body: bytes
    last: bool


class ResponseChunk(msgspec.Struct, frozen=True, tag=6, array_like=True):
    """The next part of a response's body."""

    request_id: int
    data: bytes
    last: bool


class RequestFailed(msgspec.Struct, frozen=True, tag=7, array_like=True):
    """The agent refused the request, or the endpoint's response failed."""

    request_id: int
    status: int
    verdict: str
    text: str
    retry_after_s: float
    in_flight: int
    reason: str = ""


class ResponseCredit(msgspec.Struct, frozen=True, tag=8, array_like=True):
    """The caller consumed chunks of a response; as many more may be sent."""

    request_id: int
    chunks: int


class KeyClaim(msgspec.Struct, frozen=True, tag=9, array_like=True):
    """Asks an agent to claim an idempotency key before the request runs."""

    request_id: int
    scope: str
    key: str
    claimant: str


class KeyClaimResult(msgspec.Struct, frozen=True, tag=10, array_like=True):
    """An agent's reply to the claim of a key.

    Attributes
    ----------
    refusal : str
        Reason; empty when the key is claimed.
    incarnation : int
        Incarnation of the agent.
    remembers_for_s : float
        Period in which the agent has forgotten no key.
    """

    request_id: int
    refusal: str
    incarnation: int
    remembers_for_s: float


class KeyRelease(msgspec.Struct, frozen=True, tag=11, array_like=True):
    """The claimed request did not run; the key may be claimed again."""

    scope: str
    key: str
    claimant: str


class SessionProbe(msgspec.Struct, frozen=True, tag=12, array_like=True):
    """Asks the agent to confirm that the session delivers."""

    number: int


class SessionReceipt(msgspec.Struct, frozen=True, tag=13, array_like=True):
    """Confirms a probe by its number."""

    number: int


Frame = (
    SessionHandshake
    | RequestHead
    | RequestChunk
    | RequestCancel
    | ResponseHead
    | ResponseChunk
    | RequestFailed
    | ResponseCredit
    | KeyClaim
    | KeyClaimResult
    | KeyRelease
    | SessionProbe
    | SessionReceipt
)
