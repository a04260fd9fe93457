"""Runs that an agent was ordered to start or stop, and their ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.late_calls import LateCalls
from yuccapoint.cell.late_calls import MAX_CALL_DELAY_S
from yuccapoint.cell.late_calls import RunKey
from yuccapoint.cell.run_listing import list_unordered
from yuccapoint.cell.tracked_run import RunStage
from yuccapoint.cell.tracked_run import TrackedRun
from yuccapoint.cell.worker_events import CallResult
from yuccapoint.cell.worker_events import StartCall
from yuccapoint.cell.worker_events import StopCall

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from yuccapoint.cell.cell_messages import EndedRun
    from yuccapoint.cell.cell_messages import RunningTask
    from yuccapoint.cell.cell_messages import StartOrder
    from yuccapoint.cell.worker_events import WorkerStatus

# Delay before an unanswered call is repeated.
CALL_RETRY_S = 0.2
# A worker lists at most this many ends that it has not forgotten.
MAX_LISTED_ENDS = 500
# An unanswered start is abandoned by the agent after this time.
START_TIMEOUT_S = 2.0

# Results after which a start is repeated until it times out.
NOT_STARTED_YET = (
    CallResult.UNANSWERED,
    CallResult.OTHER_INSTANCE,
    CallResult.NEXT_INSTANCE,
)


class RunRegistry:
    """Tracks all runs on one instance of the worker, by task and run.

    Parameters
    ----------
    started_at_s : float
        Start time of this agent; calls of its predecessor may still be
        executed after it.
    explain : callable
        Logs a decision: its part, text and fields.

    Attributes
    ----------
    has_updates : bool
        Whether there are changes to report to the leader.
    runs_listed : bool
        Whether this instance of the worker has listed its runs.
    acked_end_number : int
        Ends up to this number are stored and need no report.
    forgotten_end_number : int
        Ends up to this number are forgotten by the worker, as it answered a
        poll that acknowledged them.
    """

    def __init__(
        self, started_at_s: float, explain: Callable[..., None]
    ) -> None:
        self.has_updates = False
        self.runs_listed = False
        self.acked_end_number = 0
        self.forgotten_end_number = 0
        self.running: tuple[RunningTask, ...] = ()
        self._started_at_s = started_at_s
        self._explain = explain
        self._runs: dict[RunKey, TrackedRun] = {}
        self.late_calls = LateCalls()
        self._ends: dict[int, EndedRun] = {}
        # Whether the worker may have more ends than it listed.
        self._ends_truncated = False

    def begin_instance(self, now_s: float, *, same_id: bool) -> int:
        """Drop all runs, as a new instance of the worker has started.

        Parameters
        ----------
        now_s : float
            Steady time in seconds.
        same_id : bool
            Whether the new instance has the id of its predecessor. Starts
            meant for the predecessor may then reach it and are blocked,
            until it refuses them as it has answered a call of its own.

        Returns
        -------
        int
            Number of starts that are blocked.
        """
        for key, tracked in self._runs.items():
            if tracked.may_reach_new_instance:
                self.late_calls.note_start(key, now_s)
        self._runs = {}
        for key in self.late_calls.begin_instance(now_s, same_id=same_id):
            block = TrackedRun(*key, RunStage.STOPPING)
            block.blocks_former_start = True
            self._runs[key] = block
        self._ends = {}
        self._ends_truncated = False
        self.running = ()
        self.runs_listed = False
        self.acked_end_number = 0
        self.forgotten_end_number = 0
        self.has_updates = True
        return len(self._runs)

    @property
    def tracked_runs(self) -> Iterable[TrackedRun]:
        """All runs that were ordered on this instance."""
        return self._runs.values()

    def may_get_former_calls(self, now_s: float) -> bool:
        """Return whether a call meant for the former instance may harm.

        A start may run a task that is claimed elsewhere by now, and an
        acknowledgement may make the worker forget ends that it has not
        listed, as each instance numbers its ends from 1.
        """
        if self.late_calls.may_get_former_ack(now_s):
            return True
        return any(tracked.is_open_block for tracked in self._runs.values())

    @property
    def awaits_block(self) -> bool:
        """Whether a poll is to tell soon that a blocked start has not run."""
        blocked = {
            key for key, tracked in self._runs.items() if tracked.is_open_block
        }
        for task in self.running:
            blocked.discard((task.task_id, task.run))
        return bool(blocked)

    @property
    def unforgotten_ack(self) -> int:
        """Number up to which the worker can forget ends; 0 if it has."""
        if self.acked_end_number <= self.forgotten_end_number:
            return 0
        return self.acked_end_number

    def on_ack_answered(self, number: int) -> None:
        """Note an answered acknowledgement.

        Parameters
        ----------
        number : int
            Ends up to this number are forgotten by the present instance; 0
            if the acknowledgement was meant for another one.
        """
        self.late_calls.on_ack_answered()
        self.forgotten_end_number = max(self.forgotten_end_number, number)

    @property
    def has_unacked_ends(self) -> bool:
        """Whether the worker lists an end that is not known to be stored."""
        return bool(self._ends)

    def discard_acked_ends(self, number: int) -> bool:
        """Drop ends that are stored; return whether the number is new."""
        if number <= self.acked_end_number:
            return False
        self.acked_end_number = number
        for known in [known for known in self._ends if known <= number]:
            del self._ends[known]
        return True

    def discard_unawaited(
        self, awaited: set[RunKey], answered_report: int
    ) -> None:
        """Drop acknowledged refusals, and starts that were abandoned.

        Parameters
        ----------
        awaited : set
            Runs that the leader waits for.
        answered_report : int
            Sequence number of this agent's last report that the leader had
            applied; 0 if it had applied none.
        """
        for key, tracked in list(self._runs.items()):
            if tracked.is_refusal_known(answered_report):
                del self._runs[key]
            starting = (
                tracked.stage is RunStage.STARTING and not tracked.call_pending
            )
            if starting and key not in awaited:
                # A renewed lease must not start it.
                tracked.refuse("given up")
                self.has_updates = True

    def refuse_unsent_starts(self, reason: str) -> None:
        """Refuse the starts that are not on their way to the worker."""
        for tracked in self._runs.values():
            if tracked.stage is RunStage.STARTING and not tracked.call_pending:
                tracked.refuse(reason)

    def withdraw_starts(self, reason: str) -> int:
        """Refuse the starts that are not confirmed; return their number."""
        withdrawn = 0
        for tracked in self._runs.values():
            if tracked.stage is RunStage.STARTING:
                tracked.withdraw(reason)
                withdrawn += 1
        return withdrawn

    def order_start(
        self, start: StartOrder, now_s: float, *, refusal: str = ""
    ) -> None:
        """Register an order to start a run.

        Parameters
        ----------
        start : StartOrder
            Run to start.
        now_s : float
            Steady time in seconds.
        refusal : str
            Why no new run may start at present; empty if one may.
        """
        key = (start.task_id, start.run)
        if key in self._runs:
            # A refusal is reported again until the leader acknowledges it.
            self.has_updates = True
            return
        # A former agent may have started it; the leader repeats the order.
        if not self.runs_listed or self._has_ended(key):
            return
        if self._ends_truncated:
            return
        tracked = TrackedRun(
            start.task_id, start.run, RunStage.STARTING, start
        )
        self._runs[key] = tracked
        if any((task.task_id, task.run) == key for task in self.running):
            tracked.stage = RunStage.RUNNING
            tracked.listed = True
            self.has_updates = True
            return
        # A call of a former agent may still be executed.
        tracked.unanswered = now_s < self._started_at_s + MAX_CALL_DELAY_S
        if refusal:
            tracked.refuse(refusal)
            self.has_updates = True

    def order_stop(self, task_id: str, run: int) -> None:
        """Register an order to stop a run or to block its start."""
        key = (task_id, run)
        if self._has_ended(key):
            return
        tracked = self._runs.get(key)
        if tracked is None:
            tracked = TrackedRun(task_id, run, RunStage.STOPPING)
            self._runs[key] = tracked
        if tracked.stage in (RunStage.STARTING, RunStage.RUNNING):
            tracked.stage = RunStage.STOPPING
            tracked.next_call_at_s = 0.0
        if tracked.stage is RunStage.STOPPING and not tracked.reason:
            tracked.reason = "stopped"

    def stop_late_starts(self) -> None:
        """Stop what runs on an instance that no leader knows of yet.

        Only a call meant for a former instance can have started it. Its
        claim is released as soon as the leader knows of the instance, so that
        the run has to end before.
        """
        for task in self.running:
            self.order_stop(task.task_id, task.run)
            self._runs[(task.task_id, task.run)].blocks_former_start = True

    def _has_ended(self, key: RunKey) -> bool:
        return any((e.task_id, e.run) == key for e in self._ends.values())

    def on_start_result(
        self, call: StartCall, result: CallResult, reason: str, now_s: float
    ) -> bool:
        """Apply the result of a start; return whether the run started."""
        key = (call.order.task_id, call.order.run)
        if result is CallResult.UNANSWERED:
            self.late_calls.discard_past(now_s)
            self.late_calls.note_start(key, now_s)
        tracked = self._runs.get(key)
        if tracked is None or tracked.order is not call.order:
            return False
        tracked.call_pending = False
        if result is CallResult.UNANSWERED:
            tracked.unanswered = True
        if result is CallResult.NEXT_INSTANCE:
            tracked.reached_next_instance = True
        if tracked.stage is not RunStage.STARTING:
            return False
        self.has_updates = True
        if result is CallResult.DONE:
            tracked.stage = RunStage.RUNNING
            tracked.started_at_s = now_s
            return True
        if tracked.withdrawn:
            tracked.refuse(tracked.withdrawn)
            return False
        tracked.next_call_at_s = now_s + CALL_RETRY_S
        if result is CallResult.REFUSED and reason in ("fence", "late"):
            return False
        if result in NOT_STARTED_YET:
            if now_s - tracked.first_call_at_s > START_TIMEOUT_S:
                tracked.refuse("no answer")
            return False
        tracked.refuse(reason or result.value)
        return False

    def on_stop_result(
        self, call: StopCall, result: CallResult, now_s: float
    ) -> None:
        """Apply the result of a stop."""
        tracked = self._runs.get((call.task_id, call.run))
        if tracked is None:
            return
        tracked.call_pending = False
        if tracked.stage is not RunStage.STOPPING:
            return
        if result is CallResult.DONE:
            tracked.stop_acked_at_s = tracked.stop_acked_at_s or now_s
            return
        if not tracked.blocks_former_start:
            tracked.next_call_at_s = now_s + CALL_RETRY_S

    def on_status(self, status: WorkerStatus, sent_at_s: float) -> None:
        """Apply the runs and ends that the worker listed."""
        self._explain_unordered(status)
        self.running = status.running
        self._ends_truncated = len(status.ends) >= MAX_LISTED_ENDS
        ended = set()
        for end in status.ends:
            ended.add((end.task_id, end.run))
            if end.number <= self.acked_end_number or end.number in self._ends:
                continue
            self._ends[end.number] = end
            self.has_updates = True
        running = {(task.task_id, task.run) for task in status.running}
        for key, tracked in list(self._runs.items()):
            tracked.called_in_silence = False
            if key in ended:
                del self._runs[key]
            elif key in running:
                self._mark_running(tracked, sent_at_s)
            elif not self._ends_truncated:
                self._mark_absent(key, tracked, sent_at_s)
        if not self.runs_listed:
            self.runs_listed = True
            self.has_updates = True

    def _explain_unordered(self, status: WorkerStatus) -> None:
        """Log the newly listed runs that this agent did not start."""
        for task in list_unordered(status.running, self.running, self._runs):
            self._explain(
                "run",
                "the worker runs what this agent did not start",
                task=task.task_id,
                run=task.run,
                first_listing=int(not self.runs_listed),
            )

    def _mark_running(self, tracked: TrackedRun, sent_at_s: float) -> None:
        tracked.note_listed(sent_at_s)
        if tracked.stage is RunStage.STARTING:
            tracked.stage = RunStage.RUNNING
            self.has_updates = True

    def _mark_absent(
        self, key: RunKey, tracked: TrackedRun, sent_at_s: float
    ) -> None:
        if (
            tracked.stage is RunStage.RUNNING
            and tracked.started_at_s < sent_at_s
        ):
            # Neither running nor ended: its end was acknowledged before.
            del self._runs[key]
            self._explain(
                "run",
                "neither running nor ended; its end was acknowledged before",
                task=tracked.task_id,
                run=tracked.run,
            )
            return
        acked = 0 < tracked.stop_acked_at_s < sent_at_s
        if tracked.stage is RunStage.STOPPING and acked:
            tracked.stage = RunStage.REFUSED
            tracked.reason = tracked.reason or "stopped"
            self.has_updates = True

    def report_ends(self) -> tuple[EndedRun, ...]:
        """Return the ends that are not acknowledged as stored."""
        return tuple(self._ends[number] for number in sorted(self._ends))
