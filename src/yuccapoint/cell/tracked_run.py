"""A run as the agent knows it."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.cell.cell_messages import StartOrder


class RunStage(enum.Enum):
    """Where a run is between order and end."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    REFUSED = "refused"


class TrackedRun:
    """A run that was ordered here.

    Attributes
    ----------
    unanswered : bool
        Whether a start call got no answer: it may take effect later.
    listed : bool
        Whether a look at the intended life of the worker listed the run.
    blocks_former_start : bool
        Whether it bars a start that was meant for the worker's former life.
    stop_acked_at_s : float
        When the worker confirmed the stop; 0 while it has not.
    """

    __slots__ = (
        "blocks_former_start",
        "call_pending",
        "first_call_at_s",
        "listed",
        "next_call_at_s",
        "order",
        "reason",
        "run",
        "stage",
        "started_at_s",
        "stop_acked_at_s",
        "task_id",
        "unanswered",
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
        self.listed = False
        self.blocks_former_start = False
        self.call_pending = False
        self.next_call_at_s = 0.0
        self.first_call_at_s = 0.0
        self.started_at_s = 0.0
        self.stop_acked_at_s = 0.0

    @property
    def may_reach_new_instance(self) -> bool:
        """Whether another life of the worker may have got the start.

        A life that begins under the same id takes calls that were meant
        for the former one.
        """
        if self.call_pending or self.unanswered:
            return True
        return self.stage is RunStage.RUNNING and not self.listed

    def refuse(self, reason: str) -> None:
        """Note that the run did not start; make sure that it never will.

        A start call that got no answer may still be carried out, so the
        worker is told to stop the run first.
        """
        self.reason = reason
        self.next_call_at_s = 0.0
        if self.unanswered:
            self.stage = RunStage.STOPPING
            return
        self.stage = RunStage.REFUSED
