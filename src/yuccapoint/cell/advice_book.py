"""Which workers the adviser allows to run a step."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.cell.job_run import StepRun
    from yuccapoint.cell.progress import WorkerLife

# A ticket must still be valid when the start reaches the worker, seconds.
TICKET_MARGIN_S = 0.5


class Ticket:
    """The adviser's permission for a step on a worker."""

    __slots__ = ("text", "valid_until_s")

    def __init__(self, text: str, valid_until_s: float) -> None:
        self.text = text
        self.valid_until_s = valid_until_s


class AdviceBook:
    """Keeps tickets by step and life of a worker.

    A step of a queue without adviser needs no ticket.
    """

    def __init__(self) -> None:
        self._tickets: dict[str, dict[WorkerLife, Ticket]] = {}

    def note(
        self, step: StepRun, life: WorkerLife, text: str, until_s: float
    ) -> None:
        """Keep a ticket."""
        tickets = self._tickets.setdefault(step_id(step), {})
        tickets[life] = Ticket(text, until_s)

    def forget_step(self, step: StepRun) -> None:
        """Drop the tickets of a step, as one was not accepted."""
        self._tickets.pop(step_id(step), None)

    def ticket(
        self, step: StepRun, life: WorkerLife | None, now_s: float
    ) -> str:
        """Give the text of a valid ticket; empty when there is none."""
        if life is None:
            return ""
        found = self._tickets.get(step_id(step), {}).get(life)
        if found is None or now_s > found.valid_until_s - TICKET_MARGIN_S:
            return ""
        return found.text

    def allows(self, step: StepRun, life: WorkerLife, now_s: float) -> bool:
        """Tell whether a step may start on a worker."""
        if not step.occurrence.job.submission.queue.advised:
            return True
        return bool(self.ticket(step, life, now_s))


def step_id(step: StepRun) -> str:
    """Give a step's name: ``JOB.OCCURRENCE.STEP``."""
    occurrence = step.occurrence
    job_id = occurrence.job.submission.job_id
    return f"{job_id}.{occurrence.number}.{step.number}"
