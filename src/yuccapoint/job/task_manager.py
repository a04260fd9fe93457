"""An agent's decisions on the batch tasks of its VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.connection.messages import TaskReport
from yuccapoint.job import lease_rules
from yuccapoint.job.actions import Explain
from yuccapoint.job.actions import WorkerRenew
from yuccapoint.job.actions import WorkerStart
from yuccapoint.job.actions import WorkerStop
from yuccapoint.job.resource_allocator import ReservationRefusedError
from yuccapoint.job.resource_allocator import ResourceAllocator

if TYPE_CHECKING:
    from yuccapoint.connection.messages import LeaseGrant
    from yuccapoint.connection.messages import StartAttempt
    from yuccapoint.job.actions import Action
    from yuccapoint.job.job import Job
    from yuccapoint.job.size import Size
    from yuccapoint.job.worker_events import RunningTask
    from yuccapoint.job.worker_events import TaskEnded

MAX_UNANSWERED_REPORTS = 64
# Bounds the ended attempts that are remembered to reject late starts.
MAX_TOMBSTONES = 10_000
# The first term of an incarnation is the incarnation times this factor.
TERMS_PER_INCARNATION = 1024


class Task:
    """One attempt of a job on this VM.

    Attributes
    ----------
    outcome : str
        Outcome as in ``TaskReport``; empty while the attempt runs.
    stop_reason : str
        Why the attempt is being stopped; empty if it is not.
    """

    __slots__ = (
        "attempt",
        "checkpoint",
        "job_class",
        "job_id",
        "outcome",
        "reason",
        "size",
        "stop_reason",
    )

    def __init__(
        self, job_id: str, attempt: int, size: Size, job_class: str
    ) -> None:
        self.job_id = job_id
        self.attempt = attempt
        self.size = size
        self.job_class = job_class
        self.outcome = ""
        self.reason = ""
        self.checkpoint = ""
        self.stop_reason = ""

    @property
    def report(self) -> TaskReport:
        """The task as reported to the leader."""
        return TaskReport(
            self.job_id,
            self.attempt,
            self.outcome,
            self.reason,
            self.checkpoint,
        )


class TaskManager:
    """Runs attempts on one VM under the lease of the VM's leader.

    Parameters
    ----------
    vm : str
        Name of the VM.
    incarnation : int
        Start of this agent in milliseconds since the epoch. The terms of a
        restarted agent are thereby newer than all earlier ones.
    capacity : Size
        Total resources of the VM.
    """

    def __init__(self, vm: str, incarnation: int, capacity: Size) -> None:
        self.vm = vm
        self.allocator = ResourceAllocator(capacity)
        self.tasks: dict[str, Task] = {}
        self.term = incarnation * TERMS_PER_INCARNATION
        self.leader = ""
        self.candidate = ""
        self.lease_until_s = 0.0
        self.inventory_loaded = False
        self.stopping = False
        self.sequence = 0
        self._report_sent_at_s: dict[int, float] = {}
        self._last_grant_at_s = 0.0
        self._tombstones: dict[str, int] = {}
        self._replayed_ends: dict[str, TaskEnded] = {}

    def next_sequence(self, now_s: float) -> int:
        """Return the number of a new report.

        A lease granted in answer to the report counts from ``now_s``.
        """
        self.sequence += 1
        self._report_sent_at_s[self.sequence] = now_s
        if len(self._report_sent_at_s) > MAX_UNANSWERED_REPORTS:
            del self._report_sent_at_s[next(iter(self._report_sent_at_s))]
        return self.sequence

    def on_leader_stopping(self, entry: str) -> bool:
        """Make the next choice pick another entry; True if this one led."""
        if entry != self.leader:
            return False
        self._last_grant_at_s = -lease_rules.LEADER_TIMEOUT_S
        return True

    def choose_leader(self, entries: list[str], now_s: float) -> None:
        """Ask another entry to lead if the leader has timed out.

        Parameters
        ----------
        entries : list of str
            Live entries in this VM's order of preference.
        now_s : float
            Monotonic time in seconds.
        """
        if now_s < self._last_grant_at_s + lease_rules.LEADER_TIMEOUT_S:
            return
        others = [entry for entry in entries if entry != self.leader]
        if not others:
            others = entries
        if not others:
            return
        self.term += 1
        self._last_grant_at_s = now_s
        self.candidate = others[0]
        if self.candidate == self.leader and len(entries) > 1:
            self.candidate = entries[1]
        self.leader = ""

    def on_inventory(self, running: list[RunningTask]) -> list[Action]:
        """Adopt the tasks that run on the worker.

        No task is started before this was called.
        """
        actions: list[Action] = []
        for found in running:
            task = Task(
                found.job_id, found.attempt, found.size, found.job_class
            )
            try:
                self.allocator.reserve(found.job_id, found.size)
            except ReservationRefusedError as error:
                text = f"stops unknown task {found.job_id}: {error}"
                actions.append(Explain("agent", text, {"vm": self.vm}))
                actions.append(
                    WorkerStop(found.job_id, found.attempt, "unknown")
                )
                continue
            self.tasks[found.job_id] = task
        self.inventory_loaded = True
        return actions

    def on_grant(self, grant: LeaseGrant, now_s: float) -> list[Action]:
        """Apply a lease grant and the starts and stops that it carries.

        Parameters
        ----------
        grant : LeaseGrant
            The leader's answer to a report.
        now_s : float
            Monotonic time in seconds.
        """
        sent_at_s = self._report_sent_at_s.get(grant.reply_to)
        if grant.term != self.term or sent_at_s is None:
            return []
        if not self.inventory_loaded:
            return []
        self.leader = grant.entry
        self.candidate = ""
        actions: list[Action] = []
        if grant.ttl_s:
            self._last_grant_at_s = now_s
            until_s = lease_rules.holder_deadline_s(sent_at_s, grant.ttl_s)
            if until_s > self.lease_until_s and until_s > now_s:
                self.lease_until_s = until_s
                actions.append(WorkerRenew(until_s))
        valid_until_s = min(
            self.lease_until_s,
            lease_rules.holder_deadline_s(sent_at_s, lease_rules.VM_LEASE_S),
        )
        if grant.ttl_s:
            self._repeat_stops(actions)
        for ended in grant.acknowledged:
            self._drop_ended(ended.job_id, ended.attempt)
        for stop in grant.stops:
            self.stop(stop.job_id, stop.attempt, stop.reason, actions)
        if now_s >= valid_until_s or self.stopping:
            return actions
        for start in grant.starts:
            self._start(start, actions)
        return actions

    def stop(
        self, job_id: str, attempt: int, reason: str, actions: list[Action]
    ) -> None:
        """Checkpoint and stop an attempt, unless it is already stopping."""
        task = self.tasks.get(job_id)
        if task is None or task.attempt != attempt:
            return
        if task.outcome or task.stop_reason:
            return
        task.stop_reason = reason
        actions.append(WorkerStop(job_id, attempt, reason))

    def on_replayed_end(self, ended: TaskEnded) -> list[Action]:
        """Record an end that may precede the start of this agent.

        The leader may not have seen the end and may send the start again.
        """
        if ended.job_id in self.tasks:
            return self.on_ended(ended)
        self._replayed_ends.pop(ended.job_id, None)
        self._replayed_ends[ended.job_id] = ended
        if len(self._replayed_ends) > MAX_TOMBSTONES:
            del self._replayed_ends[next(iter(self._replayed_ends))]
        return []

    def on_ended(self, ended: TaskEnded) -> list[Action]:
        """Record the end of an attempt on the worker."""
        task = self.tasks.get(ended.job_id)
        if task is None or task.attempt != ended.attempt or task.outcome:
            return []
        task.outcome = ended.outcome
        task.reason = task.stop_reason or ended.reason
        task.checkpoint = ended.checkpoint
        self.allocator.release(ended.job_id)
        text = f"{task.job_id} ended: {task.outcome} {task.reason}"
        fields: dict[str, str | int | float] = {
            "vm": self.vm,
            "job": task.job_id,
            "attempt": task.attempt,
        }
        return [Explain("agent", text.strip(), fields)]

    def _is_this_incarnation(self, term: int) -> bool:
        own_incarnation = self.term // TERMS_PER_INCARNATION
        return term // TERMS_PER_INCARNATION == own_incarnation

    def _repeat_stops(self, actions: list[Action]) -> None:
        # The worker may have received a stop before the matching start.
        for task in self.tasks.values():
            if task.stop_reason and not task.outcome:
                stop = WorkerStop(task.job_id, task.attempt, task.stop_reason)
                actions.append(stop)

    def _start(self, start: StartAttempt, actions: list[Action]) -> None:
        job = start.job
        current = self.tasks.get(job.job_id)
        if current is not None and current.attempt >= start.attempt:
            return
        if self._tombstones.get(job.job_id, 0) >= start.attempt:
            return
        if current is not None and not current.outcome:
            return
        self.tasks[job.job_id] = self._new_task(job, start, actions)

    def _new_task(
        self, job: Job, start: StartAttempt, actions: list[Action]
    ) -> Task:
        task = Task(job.job_id, start.attempt, job.size, job.job_class)
        replayed = self._replayed_ends.get(job.job_id)
        if replayed is not None and replayed.attempt == start.attempt:
            task.outcome = replayed.outcome
            task.reason = replayed.reason
            task.checkpoint = replayed.checkpoint
            return task
        if start.claimed_term and not self._is_this_incarnation(
            start.claimed_term
        ):
            task.outcome = "refused"
            task.reason = "the agent restarted after the claim"
            return task
        try:
            self.allocator.reserve(job.job_id, job.size)
        except ReservationRefusedError as error:
            task.outcome = "refused"
            task.reason = str(error)
            task.checkpoint = start.checkpoint
            return task
        actions.append(
            WorkerStart(
                job, start.attempt, start.checkpoint, self.lease_until_s
            )
        )
        return task

    def _drop_ended(self, job_id: str, attempt: int) -> None:
        task = self.tasks.get(job_id)
        if task is None or task.attempt != attempt or not task.outcome:
            return
        del self.tasks[job_id]
        self._tombstones[job_id] = attempt
        if len(self._tombstones) > MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]
