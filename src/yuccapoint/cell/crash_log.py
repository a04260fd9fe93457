"""The agent's record of crashes of its worker and of their suspects."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.crash_messages import CrashReport
from yuccapoint.cell.crash_messages import CrashSuspect
from yuccapoint.cell.next_starts import NextStarts
from yuccapoint.cell.tracked_run import RunStage

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccapoint.cell.tracked_run import TrackedRun

# Crashes and proofs are reported for this long, which outlasts a change of
# the leader.
REPORTED_FOR_S = 15.0
# The task of a first run has no earlier suspicion that the leader is to drop,
# so that its proof isn't reported.
FIRST_RUN = 1
# A status request waits at most this long for a run to end while the proof
# of a run is due: a crash of the worker accuses each run without proof.
PROOF_WAIT_MS = 100

RunKey = tuple[str, int]


def has_unproven_run(runs: Iterable[TrackedRun]) -> bool:
    """Return whether a run works and is not proven yet."""
    return any(
        tracked.stage is RunStage.RUNNING and not tracked.proven
        for tracked in runs
    )


class CrashLog:
    """Keeps crashes and proofs until they have been reported for long.

    Parameters
    ----------
    vm : str
        Name of the VM.
    """

    __slots__ = ("_crashes", "_proofs", "_vm", "next_starts")

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self.next_starts = NextStarts()
        # With the time until which each is reported.
        self._crashes: list[tuple[float, tuple[CrashSuspect, ...]]] = []
        self._proofs: dict[RunKey, float] = {}

    def on_instance_ended(
        self, runs: Iterable[TrackedRun], now_s: float, *, announced: bool
    ) -> str:
        """Record a crash, unless the worker had announced its end.

        Parameters
        ----------
        runs : iterable of TrackedRun
            All runs of the instance that ended.
        now_s : float
            Steady time in seconds.
        announced : bool
            Whether the worker had announced that it leaves or drains.

        Returns
        -------
        str
            The suspects by task and run, for the log.
        """
        if announced:
            return ""
        suspects = tuple(
            CrashSuspect(
                tracked.task_id,
                tracked.run,
                tracked.known_started,
                tracked.is_doubtful_suspect,
            )
            for tracked in runs
            if tracked.may_have_crashed_worker
        )
        if suspects:
            self._crashes.append((now_s + REPORTED_FOR_S, suspects))
        return " ".join(f"{s.task_id}/{s.run}" for s in suspects)

    def note_proofs(
        self, runs: Iterable[TrackedRun], sent_at_s: float, now_s: float
    ) -> bool:
        """Record proven runs; return whether there are new ones.

        Parameters
        ----------
        runs : iterable of TrackedRun
            All runs of the present instance.
        sent_at_s, now_s : float
            When the poll was sent that it has answered, and steady time in
            seconds.
        """
        has_new = False
        for key in self.next_starts.take_outlived(sent_at_s):
            self._proofs[key] = now_s + REPORTED_FOR_S
            has_new = True
        for tracked in runs:
            key = (tracked.task_id, tracked.run)
            if not tracked.proven or tracked.run == FIRST_RUN:
                continue
            if tracked.proof_recorded:
                continue
            tracked.proof_recorded = True
            self._proofs[key] = now_s + REPORTED_FOR_S
            has_new = True
        return has_new

    def build_report(
        self, incarnation: int, now_s: float
    ) -> CrashReport | None:
        """Return what is to be reported now, or None."""
        self._crashes = [c for c in self._crashes if c[0] > now_s]
        for key, until_s in list(self._proofs.items()):
            if until_s <= now_s:
                del self._proofs[key]
        if not self._crashes and not self._proofs:
            return None
        return CrashReport(
            vm=self._vm,
            incarnation=incarnation,
            crashes=tuple(suspects for _, suspects in self._crashes),
            proven=tuple(self._proofs),
        )
