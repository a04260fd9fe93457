"""Tickets of the adviser, which permit workers to run a step."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.cell.occurrence_state import WorkerInstance
    from yuccapoint.cell.step_run import StepRun

# Remaining validity that a ticket needs to reach the worker in time.
TICKET_MARGIN_S = 0.5
# The adviser is queried again this long before its answer expires.
REFRESH_AHEAD_S = 1.0
# Limit of the workers in one query.
MAX_WORKERS_PER_QUERY = 30


class Ticket:
    """The adviser's permission for a step on a worker."""

    __slots__ = ("text", "valid_until_s")

    def __init__(self, text: str, valid_until_s: float) -> None:
        self.text = text
        self.valid_until_s = valid_until_s


class TicketCache:
    """Stores tickets by step and instance of a worker.

    A step of a queue without adviser needs no ticket.
    """

    def __init__(self) -> None:
        self._tickets: dict[str, dict[WorkerInstance, Ticket]] = {}
        self._queried_at_s: dict[str, dict[WorkerInstance, float]] = {}
        # Workers that need no query, by step, and the time of the first.
        self._answered: dict[str, tuple[frozenset[WorkerInstance], float]] = {}
        # Most steps share one set, which has all workers of the pool.
        self._newest_set: frozenset[WorkerInstance] = frozenset()

    def add_ticket(
        self,
        step: StepRun,
        instance: WorkerInstance,
        text: str,
        until_s: float,
    ) -> None:
        """Store a ticket."""
        tickets = self._tickets.setdefault(step_id(step), {})
        tickets[instance] = Ticket(text, until_s)

    def is_answered(
        self, step: StepRun, instances: frozenset[WorkerInstance], now_s: float
    ) -> bool:
        """Return whether it is known that no worker is to be queried.

        It saves the visit of all workers for each step that waits.
        """
        answered, first_at_s = self._answered.get(step_id(step), (None, 0.0))
        if answered is None or not instances <= answered:
            return False
        return not _needs_query(step, first_at_s, now_s)

    def to_query(
        self, step: StepRun, instances: list[WorkerInstance], now_s: float
    ) -> list[WorkerInstance]:
        """Choose the workers to query, in the given order.

        The adviser needs time for each worker. So few are queried at once,
        and none again while its last answer is valid.
        """
        queried_at_s = {
            instance: at_s
            for instance, at_s in self._queried_at_s.get(
                step_id(step), {}
            ).items()
            if not _needs_query(step, at_s, now_s)
        }
        found = [
            instance for instance in instances if instance not in queried_at_s
        ]
        if not found and queried_at_s:
            answered = frozenset(queried_at_s)
            if answered != self._newest_set:
                self._newest_set = answered
            self._answered[step_id(step)] = (
                self._newest_set,
                min(queried_at_s.values()),
            )
        return found[:MAX_WORKERS_PER_QUERY]

    def record_query(
        self, step: StepRun, instances: list[WorkerInstance], now_s: float
    ) -> None:
        """Record the time of a query."""
        queried_at_s = self._queried_at_s.setdefault(step_id(step), {})
        queried_at_s.update(dict.fromkeys(instances, now_s))

    def discard_query(self, step: StepRun) -> None:
        """Allow a repeated query, as the adviser did not answer."""
        self._queried_at_s.pop(step_id(step), None)
        self._answered.pop(step_id(step), None)

    def discard_step(self, step: StepRun) -> None:
        """Drop the tickets of a step after one was not accepted."""
        self._tickets.pop(step_id(step), None)
        self.discard_query(step)

    def forget(self, step: StepRun) -> None:
        """Drop all that is known of a step whose job has ended."""
        self.discard_step(step)

    def ticket(
        self, step: StepRun, instance: WorkerInstance | None, now_s: float
    ) -> str:
        """Return the text of a valid ticket; empty when there is none."""
        if instance is None:
            return ""
        found = self._tickets.get(step_id(step), {}).get(instance)
        if found is None or now_s > found.valid_until_s - TICKET_MARGIN_S:
            return ""
        return found.text

    def allows(
        self, step: StepRun, instance: WorkerInstance, now_s: float
    ) -> bool:
        """Return whether a step may start on a worker."""
        if not step.occurrence.job.queue.rules.advice_valid_ms:
            return True
        return bool(self.ticket(step, instance, now_s))


def _needs_query(step: StepRun, queried_at_s: float, now_s: float) -> bool:
    """Return whether the answer to a query expires soon."""
    valid_s = step.occurrence.job.queue.rules.advice_valid_ms / 1000
    return now_s - queried_at_s >= valid_s - REFRESH_AHEAD_S


def step_id(step: StepRun) -> str:
    """Return the id of a step: ``JOB.OCCURRENCE.STEP``."""
    occurrence = step.occurrence
    job_id = occurrence.job.submission.job_id
    return f"{job_id}.{occurrence.number}.{step.number}"
