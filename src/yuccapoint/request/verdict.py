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
        """Take a word that is not known for the careful verdict."""
        del value
        return cls.MAY_HAVE_RUN

    def allows_retry(self, *, idempotent: bool) -> bool:
        """Tell whether the request may be sent again.

        Parameters
        ----------
        idempotent : bool
            Whether running the request twice does no harm.

        Returns
        -------
        bool
            True when a retry cannot break at-most-once execution.
        """
        if self is Verdict.NOT_RUN:
            return True
        return idempotent and self is Verdict.MAY_HAVE_RUN
