"""Crashes of workers that a task may have caused."""

from __future__ import annotations


class CrashHistory:
    """Counts the runs of a task that may have crashed their workers.

    Attributes
    ----------
    runs : list of int
        These runs.
    known : int
        How many of them are known to have started on these workers and are
        not doubtful.
    doubtful : int
        How many of them have probably not crashed their workers.
    proven_run : int
        The newest run that did not crash its worker, as far as this leader
        knows.
    """

    __slots__ = ("doubtful", "known", "proven_run", "runs")

    def __init__(self) -> None:
        self.runs: list[int] = []
        self.known = 0
        self.doubtful = 0
        self.proven_run = 0

    def note_crash(
        self, run: int, *, started: bool, doubtful: bool = False
    ) -> bool:
        """Count a run; return False if it is known or has been proven."""
        if run in self.runs or run <= self.proven_run:
            return False
        self.runs.append(run)
        self.known += started and not doubtful
        self.doubtful += doubtful
        return True

    def note_proven(self, run: int) -> bool:
        """Note a run that did not crash its worker.

        Returns
        -------
        bool
            Whether the task was suspected until now.
        """
        self.proven_run = max(self.proven_run, run)
        if not self.runs or run < max(self.runs):
            return False
        self.runs = []
        self.known = 0
        self.doubtful = 0
        return True
