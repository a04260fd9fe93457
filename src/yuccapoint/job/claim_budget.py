"""Limits on the claims of one scheduling pass."""

from __future__ import annotations


class ClaimBudget:
    """Limits the jobs claimed and scanned in one scheduling pass.

    Parameters
    ----------
    claims : int
        Maximum number of jobs to claim.
    scans : int
        Maximum number of jobs to scan.
    """

    __slots__ = ("claims", "scans")

    def __init__(self, claims: int, scans: int) -> None:
        self.claims = claims
        self.scans = scans

    @property
    def remaining(self) -> bool:
        """Whether another job may be scanned and claimed."""
        return self.claims > 0 and self.scans > 0

    def count_scan(self) -> None:
        """Count a scanned job."""
        self.scans -= 1

    def count_claim(self) -> None:
        """Count a claimed job."""
        self.claims -= 1
