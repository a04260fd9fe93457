"""A run as tracked by the agent."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.cell.cell_messages import StartOrder


# Bounds of the pause between two copies of a stop that blocks a late start.
FIRST_BLOCK_REPEAT_S = 0.05
MAX_BLOCK_REPEAT_S = 0.8
# A run that the worker lists this long after its start has not crashed it.
SUSPECT_RUN_S = 0.5
# One that it lists this long after its start has hardly done so.
DOUBTED_RUN_S = 0.2
# Longest time from a status request to the listing that answers it.
LISTING_DELAY_S = 0.5


class RunStage(enum.Enum):
    """Stage of a run between its order and its end."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    REFUSED = "refused"


class TrackedRun:
    """A run that the leader ordered to start or stop on this VM.

    Attributes
    ----------
    unanswered : bool
        Whether a start call got no answer and may still take effect.
    listed : bool
        Whether the intended instance of the worker has listed the run.
    alive_since_s : float
        When the run was first known to work; 0 until then.
    called_in_silence : bool
        Whether the worker had left a poll unanswered before the first call of
        the start, and has answered none since.
    blocks_former_start : bool
        Whether it blocks a start meant for the worker's former instance.
    stop_acked_at_s : float
        When the worker confirmed the stop; 0 until then.
    outlived_start : bool
        Whether the worker has listed the run some time after its start.
    proven : bool
        Whether the worker has listed the run long enough after its start.
    proof_recorded : bool
        Whether the proof has been recorded for the leader.
    reached_next_instance : bool
        Whether a later instance of the worker has executed the start.
    refusal_report : int
        Sequence number of the first report that told the leader of the
        refusal; 0 until then.
    withdrawn : str
        Why a pending start call is not to be repeated; empty if it may be.
    """

    __slots__ = (
        "alive_since_s",
        "blocks_former_start",
        "call_pending",
        "called_in_silence",
        "first_call_at_s",
        "listed",
        "next_call_at_s",
        "order",
        "outlived_start",
        "proof_recorded",
        "proven",
        "reached_next_instance",
        "reason",
        "refusal_report",
        "run",
        "stage",
        "started_at_s",
        "stop_acked_at_s",
        "task_id",
        "unanswered",
        "withdrawn",
    )

    def __init__(
        self,
        task_id: str,
        run: int,
        stage: RunStage,
        order: StartOrder | None = None,
    ) -> None:
        self.task_id = task_id
        self.run = run
        self.stage = stage
        self.order = order
        self.reason = ""
        self.unanswered = False
        self.reached_next_instance = False
        self.listed = False
        self.outlived_start = False
        self.proven = False
        self.proof_recorded = False
        self.blocks_former_start = False
        self.call_pending = False
        self.called_in_silence = False
        self.next_call_at_s = 0.0
        self.first_call_at_s = 0.0
        self.started_at_s = 0.0
        self.alive_since_s = 0.0
        self.stop_acked_at_s = 0.0
        self.refusal_report = 0
        self.withdrawn = ""

    @property
    def may_reach_new_instance(self) -> bool:
        """Whether another instance of the worker may get the start.

        An instance with the id of its predecessor accepts calls that were
        meant for the predecessor.
        """
        if self.call_pending or self.unanswered or self.reached_next_instance:
            return True
        return self.stage is RunStage.RUNNING and not self.listed

    @property
    def is_open_block(self) -> bool:
        """Whether a start meant for the former instance may still run here.

        A run that the stop finds at work goes on until its end is listed.
        """
        return self.blocks_former_start and self.stage is RunStage.STOPPING

    def note_listed(self, sent_at_s: float) -> None:
        """Note that the answer to a status request lists the run."""
        self.listed = True
        if not self.alive_since_s:
            self.alive_since_s = self.started_at_s or (
                sent_at_s + LISTING_DELAY_S
            )
        alive_s = sent_at_s - self.alive_since_s
        if alive_s >= DOUBTED_RUN_S:
            self.outlived_start = True
        if alive_s >= SUSPECT_RUN_S:
            self.proven = True

    @property
    def may_have_crashed_worker(self) -> bool:
        """Whether a start by this agent may just have taken effect."""
        if self.order is None or not self.first_call_at_s or self.proven:
            return False
        if self.stage is RunStage.STARTING:
            return self.call_pending or self.unanswered
        if self.stage is RunStage.STOPPING:
            return not self.stop_acked_at_s
        return self.stage is RunStage.RUNNING

    @property
    def known_started(self) -> bool:
        """Whether the worker answered the start or listed the run."""
        return self.listed or self.started_at_s > 0.0

    @property
    def is_doubtful_suspect(self) -> bool:
        """Whether the worker's crash has probably another cause."""
        if self.known_started:
            return self.outlived_start
        return self.called_in_silence

    def is_refusal_known(self, answered_report: int) -> bool:
        """Return whether a leader that answers a report has the refusal."""
        if self.stage is not RunStage.REFUSED or not self.refusal_report:
            return False
        return answered_report >= self.refusal_report

    def delay_next_block(self, now_s: float) -> None:
        """Schedule the next copy of a stop that blocks a late start.

        The start may be executed at any moment until one arrives, so that
        the next is sent while the last is unanswered. The pause grows with
        the time since the first, which bounds the calls in flight.
        """
        self.first_call_at_s = self.first_call_at_s or now_s
        waited_s = now_s - self.first_call_at_s
        pause_s = min(MAX_BLOCK_REPEAT_S, max(FIRST_BLOCK_REPEAT_S, waited_s))
        self.next_call_at_s = now_s + pause_s

    def withdraw(self, reason: str) -> None:
        """Refuse the run, unless a pending start call succeeds."""
        if self.call_pending:
            self.withdrawn = reason
            return
        self.refuse(reason)

    def refuse(self, reason: str) -> None:
        """Mark the run as refused and ensure that it never starts.

        An unanswered start call may still be executed, so that the worker
        first has to confirm a stop of the run.
        """
        self.reason = reason
        self.next_call_at_s = 0.0
        if self.unanswered or self.reached_next_instance:
            self.stage = RunStage.STOPPING
            return
        self.stage = RunStage.REFUSED
