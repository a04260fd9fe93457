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
# A worker that a task has crashed is away for longer than this.
MIN_CRASH_DOWN_S = 1.0

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

    __slots__ = (
        "_answered_poll_at_s",
        "_crashes",
        "_next_starts",
        "_proofs",
        "_vm",
    )

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._next_starts = NextStarts()
        # When the last poll was sent that the present instance has answered;
        # None until it has answered one.
        self._answered_poll_at_s: float | None = None
        # With the time until which each is reported.
        self._crashes: list[tuple[float, tuple[CrashSuspect, ...]]] = []
        self._proofs: dict[RunKey, float] = {}

    def note_executed_by_next(
        self, key: RunKey, clock_ms: int, now_s: float
    ) -> None:
        """Note a start that an instance after the present one has answered.

        Parameters
        ----------
        key : tuple of str and int
            Task and run.
        clock_ms : int
            That instance's clock in milliseconds.
        now_s : float
            Steady time in seconds.
        """
        self._next_starts.note_executed(key, clock_ms, now_s)

    def on_instance_ended(
        self,
        runs: Iterable[TrackedRun],
        next_clock_ms: int,
        now_s: float,
        *,
        announced: bool,
    ) -> str:
        """Record a crash, unless the worker had announced its end.

        Parameters
        ----------
        runs : iterable of TrackedRun
            All runs of the instance that ended.
        next_clock_ms : int
            Clock of the instance that checks in, in milliseconds.
        now_s : float
            Steady time in seconds.
        announced : bool
            Whether the worker had announced that it leaves or drains.

        Returns
        -------
        str
            The suspects by task and run, for the log.
        """
        was_back_at_once = self._was_back_at_once(next_clock_ms, now_s)
        self._answered_poll_at_s = None
        self._next_starts.begin_instance(next_clock_ms, now_s)
        if announced:
            return ""
        suspects = tuple(
            CrashSuspect(
                tracked.task_id,
                tracked.run,
                tracked.known_started,
                was_back_at_once or tracked.is_doubtful_suspect,
            )
            for tracked in runs
            if tracked.may_have_crashed_worker
        )
        if suspects:
            self._crashes.append((now_s + REPORTED_FOR_S, suspects))
        return " ".join(f"{s.task_id}/{s.run}" for s in suspects)

    def _was_back_at_once(self, next_clock_ms: int, now_s: float) -> bool:
        """Return whether a worker was away too briefly for a task's crash.

        The next instance's clock shows when it began at the latest, as it may
        be slow but is not fast, and the check-in may be delayed.
        """
        if self._answered_poll_at_s is None:
            return False
        began_at_s = now_s - next_clock_ms / 1000
        down_s = began_at_s - self._answered_poll_at_s
        # A clock that is ahead of its instance does not tell.
        return 0 <= down_s < MIN_CRASH_DOWN_S

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
        self._answered_poll_at_s = sent_at_s
        has_new = False
        for key in self._next_starts.take_outlived(sent_at_s):
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
