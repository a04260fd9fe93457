"""Failed runs of a gang."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.occurrence_state import Phase

if TYPE_CHECKING:
    from yuccapoint.cell.task_run import TaskRun


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

    def load_members(self, members: list[TaskRun]) -> None:
        """Derive the failed runs from those of the members.

        A member that waits after a failure tells that its newest run failed.
        """
        for member in members:
            self.failures = max(self.failures, member.failures)
            if member.failures and member.phase is Phase.WAITING:
                self.failed_run = max(self.failed_run, member.run)

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
