"""Errors of the request path."""

from __future__ import annotations

from yuccapoint.exceptions import YuccapointError
from yuccapoint.request.verdict import Verdict


class RequestError(YuccapointError):
    """A failed request; ``status`` is the HTTP status for its caller."""

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
    """The route's pool has no eligible endpoint."""


class OverloadedError(RequestError):
    """A limit rejected the request before it started."""

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
    """It can't be determined whether the idempotency key was used before."""

    status = 409
    verdict = Verdict.MAY_HAVE_RUN


class SessionLostError(RequestError):
    """The session to the agent was lost while the request was pending."""

    status = 502
    verdict = Verdict.MAY_HAVE_RUN


class EndpointFailedError(RequestError):
    """The endpoint was unreachable or aborted its response."""

    status = 502
    verdict = Verdict.MAY_HAVE_RUN


class BadRequestError(RequestError):
    """The request's headers are invalid."""

    status = 400


class RequestCancelledError(RequestError):
    """The caller no longer waits for the response."""

    status = 504


ERRORS_BY_REASON = {
    kind.__name__: kind for kind in RequestError.__subclasses__()
}


def error_from_refusal(
    reason: str, text: str, verdict: Verdict, retry_after_s: float
) -> RequestError:
    """Build the error for the reason in a remote refusal."""
    kind = ERRORS_BY_REASON.get(reason, RequestError)
    return kind(text, verdict, retry_after_s)
