"""Whether a request may have run."""

from __future__ import annotations

import enum


class Verdict(enum.Enum):
    """What is known about the execution of a request."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"

    @classmethod
    def _missing_(cls, value: object) -> Verdict:
        """Map an unknown value to the conservative verdict."""
        del value
        return cls.MAY_HAVE_RUN

    def allows_retry(self, *, idempotent: bool) -> bool:
        """Return whether the request may be retried.

        Parameters
        ----------
        idempotent : bool
            Whether the request can safely run twice.

        Returns
        -------
        bool
            True if a retry can't violate at-most-once execution.
        """
        if self is Verdict.NOT_RUN:
            return True
        return idempotent and self is Verdict.MAY_HAVE_RUN
