"""Frames of the request session between an entry and an agent."""

from __future__ import annotations

import msgspec

from yuccapoint.request.header import Header


class SessionHandshake(msgspec.Struct, frozen=True, tag=1, array_like=True):
    """First frame each way: who speaks, and which start of it."""

    name: str
    incarnation: int


class RequestHead(msgspec.Struct, frozen=True, tag=2, array_like=True):
    """A request without the rest of its body.

    Attributes
    ----------
    request_id : int
        Unique within the session.
    remaining_s : float
        Time left to the deadline when the frame was sent.
    key : str
        Idempotency key; empty when there is none.
    body : bytes
        First part of the body.
    last : bool
        Whether ``body`` is all of it.
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
    """A further part of a request's body."""

    request_id: int
    data: bytes
    last: bool


class RequestCancel(msgspec.Struct, frozen=True, tag=4, array_like=True):
    """Nobody waits for the answer any more."""

    request_id: int


class ResponseHead(msgspec.Struct, frozen=True, tag=5, array_like=True):
    """An endpoint's answer, with the first part of its body."""

    request_id: int
    status: int
    reason: str
    headers: list[Header]
    in_flight: int
    body: bytes
    last: bool


class ResponseChunk(msgspec.Struct, frozen=True, tag=6, array_like=True):
    """A further part of an answer's body."""

    request_id: int
    data: bytes
    last: bool


class RequestFailed(msgspec.Struct, frozen=True, tag=7, array_like=True):
    """The agent's refusal, or the failure of the endpoint's answer."""

    request_id: int
    status: int
    verdict: str
    text: str
    retry_after_s: float
    in_flight: int
    reason: str = ""


class ResponseCredit(msgspec.Struct, frozen=True, tag=8, array_like=True):
    """The caller took parts of an answer; as many more may be sent."""

    request_id: int
    chunks: int


class KeyClaim(msgspec.Struct, frozen=True, tag=9, array_like=True):
    """Asks an agent to claim an idempotency key before its request runs."""

    request_id: int
    scope: str
    key: str
    claimant: str


class KeyClaimResult(msgspec.Struct, frozen=True, tag=10, array_like=True):
    """How an agent took a claim.

    Attributes
    ----------
    refusal : str
        Empty when the key is now claimed.
    incarnation : int
        Start of the agent.
    remembers_for_s : float
        For so long the agent has forgotten no key.
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
)
