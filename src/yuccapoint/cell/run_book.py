"""The runs that an agent was told to start or stop, and their ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.cell_messages import RefusedRun
from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.held_run import HeldRun
from yuccapoint.cell.held_run import RunStage
from yuccapoint.cell.worker_events import CallResult
from yuccapoint.cell.worker_events import StartCall
from yuccapoint.cell.worker_events import StopCall

if TYPE_CHECKING:
    from yuccapoint.cell.cell_messages import EndedRun
    from yuccapoint.cell.cell_messages import StartOrder
    from yuccapoint.cell.worker_events import WorkerLook
    from yuccapoint.cell.worker_lease import WorkerLease

# Seconds until a call without answer is repeated.
REPEAT_CALL_S = 0.2
# Seconds after which a start without answer is given up here.
GIVE_UP_START_S = 2.0
# A call without answer may be carried out this many seconds later, as seen
# of the platform's workers, with a margin.
LATE_CALL_S = 13.0

RunKey = tuple[str, int]


class RunBook:
    """Keeps all runs of one life of the worker, by task and run.

    Parameters
    ----------
    started_at_s : float
        When this agent started; a former one may have made calls that are
        carried out yet.

    Attributes
    ----------
    changed : bool
        Whether there is news that the leader waits for.
    looked : bool
        Whether the worker of this life has listed its runs.
    noted_number : int
        Ends up to this number may be forgotten.
    """

    def __init__(self, started_at_s: float) -> None:
        self.changed = False
        self.looked = False
        self.noted_number = 0
        self.running: tuple[RunningTask, ...] = ()
        self._started_at_s = started_at_s
        self._runs: dict[RunKey, HeldRun] = {}
        self._ends: dict[int, EndedRun] = {}

    def begin_life(self, *, same_id: bool) -> None:
        """Forget all runs, as the worker started anew.

        Parameters
        ----------
        same_id : bool
            Whether it goes by the id that it had: starts meant for its
            former life may then reach the new one and are barred.
        """
        bars = {}
        for key, held in self._runs.items():
            if same_id and held.may_be_elsewhere:
                bars[key] = HeldRun(*key, RunStage.STOPPING)
                bars[key].bars_life = True
        self._runs = bars
        self._ends = {}
        self.running = ()
        self.looked = False
        self.noted_number = 0
        self.changed = True

    @property
    def has_open_bars(self) -> bool:
        """Whether a start of the former life may still run here."""
        return any(
            held.bars_life and not held.stop_acked_at_s
            for held in self._runs.values()
        )

    def note_ends(self, number: int) -> None:
        """Forget ends that are in the store."""
        if number <= self.noted_number:
            return
        self.noted_number = number
        for known in [known for known in self._ends if known <= number]:
            del self._ends[known]

    def keep_awaited(self, ordered: set[RunKey], awaited: set[RunKey]) -> None:
        """Drop refusals that the leader knows, and starts given up since.

        Parameters
        ----------
        ordered, awaited : set
            Runs that the leader orders now, and all that it waits for.
        """
        for key, held in list(self._runs.items()):
            if held.stage is RunStage.REFUSED and key not in ordered:
                del self._runs[key]
            starting = held.stage is RunStage.STARTING and not held.calling
            if starting and key not in awaited:
                # A lease that is newer must not start it.
                held.refuse("given up")
                self.changed = True

    def order_start(
        self, start: StartOrder, now_s: float, *, leaving: bool
    ) -> None:
        """Take an order to start a run."""
        key = (start.task_id, start.run)
        if key in self._runs:
            # The refusal is reported again until the leader knows.
            self.changed = True
            return
        # A former agent may have started it; the leader asks again.
        if not self.looked or self._has_ended(key):
            return
        held = HeldRun(start.task_id, start.run, RunStage.STARTING, start)
        self._runs[key] = held
        if any((task.task_id, task.run) == key for task in self.running):
            held.stage = RunStage.RUNNING
            held.listed = True
            self.changed = True
            return
        # A call of a former agent may be carried out yet.
        held.unanswered = now_s < self._started_at_s + LATE_CALL_S
        if leaving:
            held.refuse("draining")
            self.changed = True

    def order_stop(self, task_id: str, run: int) -> None:
        """Take an order to stop a run, or to bar it."""
        key = (task_id, run)
        if self._has_ended(key):
            return
        held = self._runs.get(key)
        if held is None:
            held = HeldRun(task_id, run, RunStage.STOPPING)
            self._runs[key] = held
        if held.stage in (RunStage.STARTING, RunStage.RUNNING):
            held.stage = RunStage.STOPPING
            held.call_at_s = 0.0
        if held.stage is RunStage.STOPPING and not held.reason:
            held.reason = "stopped"

    def _has_ended(self, key: RunKey) -> bool:
        return any((e.task_id, e.run) == key for e in self._ends.values())

    def take_calls(
        self, term: int, lease: WorkerLease, now_s: float
    ) -> list[StartCall | StopCall]:
        """Give the starts and stops to call for now."""
        calls = []
        for held in self._runs.values():
            if held.calling or now_s < held.call_at_s:
                continue
            call = self._next_call(held, term, lease, now_s)
            if call is None:
                continue
            held.calling = True
            calls.append(call)
        return calls

    def _next_call(
        self, held: HeldRun, term: int, lease: WorkerLease, now_s: float
    ) -> StartCall | StopCall | None:
        if held.stage is RunStage.STOPPING and not held.stop_acked_at_s:
            return StopCall(held.task_id, held.run, term)
        if held.stage is not RunStage.STARTING or held.order is None:
            return None
        if not lease.is_valid(now_s):
            return None
        lease_until_ms = lease.until_clock_ms()
        if lease_until_ms is None:
            return None
        held.first_call_at_s = held.first_call_at_s or now_s
        return StartCall(held.order, term, lease_until_ms)

    def on_start_result(
        self, call: StartCall, result: CallResult, reason: str, now_s: float
    ) -> bool:
        """Take the answer to a start; tell whether the run has started."""
        held = self._runs.get((call.order.task_id, call.order.run))
        if held is None or held.order is not call.order:
            return False
        held.calling = False
        if result is CallResult.UNANSWERED:
            held.unanswered = True
        if held.stage is not RunStage.STARTING:
            return False
        self.changed = True
        if result is CallResult.DONE:
            held.stage = RunStage.RUNNING
            held.started_at_s = now_s
            return True
        held.call_at_s = now_s + REPEAT_CALL_S
        if result is CallResult.REFUSED and reason in ("fence", "late"):
            return False
        if result in (CallResult.UNANSWERED, CallResult.OTHER_LIFE):
            if now_s - held.first_call_at_s > GIVE_UP_START_S:
                held.refuse("no answer")
            return False
        held.refuse(reason or result.value)
        return False

    def on_stop_result(
        self, call: StopCall, result: CallResult, now_s: float
    ) -> None:
        """Take the answer to a stop."""
        held = self._runs.get((call.task_id, call.run))
        if held is None:
            return
        held.calling = False
        if held.stage is not RunStage.STOPPING:
            return
        if result is CallResult.DONE:
            held.stop_acked_at_s = now_s
            return
        held.call_at_s = now_s + REPEAT_CALL_S

    def on_look(self, look: WorkerLook, sent_at_s: float) -> None:
        """Take what the worker listed in answer to a look."""
        self.running = look.running
        ended = set()
        for end in look.ends:
            ended.add((end.task_id, end.run))
            if end.number <= self.noted_number or end.number in self._ends:
                continue
            self._ends[end.number] = end
            self.changed = True
        running = {(task.task_id, task.run) for task in look.running}
        for key, held in list(self._runs.items()):
            if key in ended:
                del self._runs[key]
            elif key in running:
                self._settle_running(held)
            else:
                self._settle_absent(key, held, sent_at_s)
        if not self.looked:
            self.looked = True
            self.changed = True

    def _settle_running(self, held: HeldRun) -> None:
        held.listed = True
        if held.stage is RunStage.STARTING:
            held.stage = RunStage.RUNNING
            self.changed = True

    def _settle_absent(
        self, key: RunKey, held: HeldRun, sent_at_s: float
    ) -> None:
        if held.stage is RunStage.RUNNING and held.started_at_s < sent_at_s:
            # Neither running nor ended: its end was noted before.
            del self._runs[key]
            return
        acked = 0 < held.stop_acked_at_s < sent_at_s
        if held.stage is RunStage.STOPPING and acked:
            held.stage = RunStage.REFUSED
            held.reason = held.reason or "stopped"
            self.changed = True

    def report_running(self) -> tuple[RunningTask, ...]:
        """Give what runs, with what started since the last look."""
        listed = {(task.task_id, task.run) for task in self.running}
        started = [
            RunningTask(*key, "", 0, 0.0)
            for key, held in self._runs.items()
            if held.stage is RunStage.RUNNING and key not in listed
        ]
        return (*self.running, *started)

    def report_ends(self) -> tuple[EndedRun, ...]:
        """Give the ends that are not known to be in the store."""
        return tuple(self._ends[number] for number in sorted(self._ends))

    def report_refused(self) -> tuple[RefusedRun, ...]:
        """Give the runs that did not start and never will."""
        return tuple(
            RefusedRun(held.task_id, held.run, held.reason)
            for held in self._runs.values()
            if held.stage is RunStage.REFUSED
        )

    def report_pending(self) -> tuple[RunKey, ...]:
        """Give the runs that are about to start."""
        return tuple(
            key
            for key, held in self._runs.items()
            if held.stage is RunStage.STARTING
        )
