"""How much an entry may claim at one go."""

from __future__ import annotations


class ClaimBudget:
    """Bounds the claims made and the jobs looked at.

    Parameters
    ----------
    claims : int
        Jobs that may be claimed.
    looks : int
        Jobs that may be looked at.
    """

    __slots__ = ("claims", "looks")

    def __init__(self, claims: int, looks: int) -> None:
        self.claims = claims
        self.looks = looks

    @property
    def left(self) -> bool:
        """Whether anything may still be claimed."""
        return self.claims > 0 and self.looks > 0

    def looked(self) -> None:
        """Count a job that was looked at."""
        self.looks -= 1

    def claimed(self) -> None:
        """Count a job that was claimed."""
        self.claims -= 1
