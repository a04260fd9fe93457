"""Failed runs of a gang."""

from __future__ import annotations


class GangHistory:
    """Counts the runs of a gang that have failed.

    Attributes
    ----------
    failures : int
        How many runs have failed.
    failed_run : int
        The newest of these runs; the next one starts once all members of
        this one have ended.
    """

    __slots__ = ("_failed_on", "failed_run", "failures")

    def __init__(self) -> None:
        self.failures = 0
        self.failed_run = 0
        # VMs on which members of this run have failed.
        self._failed_on: set[str] = set()

    def note_failed_member(self, run: int, vm: str) -> bool:
        """Note that a member has failed.

        Returns
        -------
        bool
            Whether it is the first of its run that failed on the VM.
        """
        if run > self.failed_run:
            self.failures += 1
            self.failed_run = run
            self._failed_on = set()
        if vm in self._failed_on:
            return False
        self._failed_on.add(vm)
        return True
