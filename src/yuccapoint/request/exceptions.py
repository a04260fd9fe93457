"""Errors of the request path."""

from __future__ import annotations

from yuccapoint.exceptions import YuccapointError
from yuccapoint.request.verdict import Verdict


class RequestError(YuccapointError):
    """A request failed; ``status`` is the HTTP status for its caller."""

    status = 503

    def __init__(
        self,
        text: str,
        verdict: Verdict | None = None,
        retry_after_s: float = 0.0,
    ) -> None:
        super().__init__(text, verdict)
        self.retry_after_s = retry_after_s


class NoRouteError(RequestError):
    """No route matches the request."""

    status = 404


class NoEndpointError(RequestError):
    """The route's pool has no endpoint that may serve now."""


class OverloadedError(RequestError):
    """A limit refused the request before it started."""

    status = 429


class DeadlinePassedError(RequestError):
    """The request's deadline cannot be met or has passed."""

    status = 504


class TooLargeError(RequestError):
    """The request's body is larger than the settings allow."""

    status = 413


class AccessRefusedError(RequestError):
    """The caller's credentials do not allow the request."""

    status = 403


class RepeatedKeyError(RequestError):
    """A request with this idempotency key was accepted before."""

    status = 409
    verdict = Verdict.MAY_HAVE_RUN


class UnknownKeyError(RequestError):
    """Nobody can know whether the idempotency key was accepted before."""

    status = 409
    verdict = Verdict.MAY_HAVE_RUN


class SessionLostError(RequestError):
    """The session to the agent broke while the request was out."""

    status = 502
    verdict = Verdict.MAY_HAVE_RUN


class EndpointFailedError(RequestError):
    """The endpoint could not be reached or broke off its answer."""

    status = 502
    verdict = Verdict.MAY_HAVE_RUN


class BadRequestError(RequestError):
    """The request's own headers are at fault."""

    status = 400


class RequestCancelledError(RequestError):
    """Nobody waits for the answer any more."""

    status = 504


ERRORS_BY_REASON = {
    kind.__name__: kind for kind in RequestError.__subclasses__()
}


def error_from_refusal(
    reason: str, text: str, verdict: Verdict, retry_after_s: float
) -> RequestError:
    """Build the error that a refusal from afar names."""
    kind = ERRORS_BY_REASON.get(reason, RequestError)
    return kind(text, verdict, retry_after_s)
