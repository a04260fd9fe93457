"""How much an entry may claim at one go."""

from __future__ import annotations


class ClaimBudget:
    """Bounds the claims made and the jobs looked at.

    Parameters
    ----------
    claims : int
        Jobs that may be claimed.
    scans : int
        Jobs that may be looked at.
    """

    __slots__ = ("claims", "scans")

    def __init__(self, claims: int, scans: int) -> None:
        self.claims = claims
        self.scans = scans

    @property
    def remaining(self) -> bool:
        """Whether anything may still be claimed."""
        return self.claims > 0 and self.scans > 0

    def count_scan(self) -> None:
        """Count a job that was looked at."""
        self.scans -= 1

    def count_claim(self) -> None:
        """Count a job that was claimed."""
        self.claims -= 1
