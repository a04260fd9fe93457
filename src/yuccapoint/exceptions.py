"""Base exceptions."""

from __future__ import annotations

from yuccapoint.request.verdict import Verdict


class YuccapointError(Exception):
    """Base class of errors, with the verdict on the request's execution.

    Attributes
    ----------
    verdict : Verdict
        What is known about the execution of the request.
    """

    verdict = Verdict.NOT_RUN

    def __init__(self, text: str, verdict: Verdict | None = None) -> None:
        super().__init__(text)
        if verdict is not None:
            self.verdict = verdict


class SettingsError(YuccapointError):
    """The settings are invalid; the message lists all problems."""


class UnreachableError(YuccapointError):
    """A process could not be reached."""


class FencedError(YuccapointError):
    """A peer has seen a call with a higher fencing token."""


class ListenError(YuccapointError):
    """A process can't listen on an address from its settings."""


class ProtocolError(YuccapointError):
    """A peer sent bytes that are not a valid message."""

    verdict = Verdict.MAY_HAVE_RUN


class DecodingError(YuccapointError):
    """Bytes can't be decoded into the expected type."""
