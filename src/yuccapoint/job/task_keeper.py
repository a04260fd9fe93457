"""An agent's decisions on the batch tasks of its VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.connection.messages import TaskReport
from yuccapoint.job import lease_rules
from yuccapoint.job.actions import Explain
from yuccapoint.job.actions import WorkerRenew
from yuccapoint.job.actions import WorkerStart
from yuccapoint.job.actions import WorkerStop
from yuccapoint.job.ledger import CommitRefusedError
from yuccapoint.job.ledger import Ledger

if TYPE_CHECKING:
    from yuccapoint.connection.messages import LeaseGrant
    from yuccapoint.connection.messages import StartAttempt
    from yuccapoint.job.actions import Action
    from yuccapoint.job.job import Job
    from yuccapoint.job.size import Size
    from yuccapoint.job.worker_events import RunningTask
    from yuccapoint.job.worker_events import TaskEnded

MAX_ASKED = 64
MAX_TOMBSTONES = 10_000
TERMS_PER_INCARNATION = 1024


class Task:
    """One attempt on this VM."""

    __slots__ = (
        "attempt",
        "checkpoint",
        "job_class",
        "job_id",
        "outcome",
        "reason",
        "size",
        "stopping",
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
        self.stopping = ""

    @property
    def report(self) -> TaskReport:
        """The task as the agent reports it."""
        return TaskReport(
            self.job_id,
            self.attempt,
            self.outcome,
            self.reason,
            self.checkpoint,
        )


class TaskKeeper:
    """Runs attempts on one VM under the lease of the VM's leader.

    Parameters
    ----------
    vm : str
        Name of the VM.
    incarnation : int
        Start of this agent in milliseconds since the epoch; it makes the
        terms of a restarted agent newer than all before.
    capacity : Size
        What the VM holds.
    """

    def __init__(self, vm: str, incarnation: int, capacity: Size) -> None:
        self.vm = vm
        self.ledger = Ledger(capacity)
        self.tasks: dict[str, Task] = {}
        self.term = incarnation * TERMS_PER_INCARNATION
        self.leader = ""
        self.candidate = ""
        self.lease_until_s = 0.0
        self.knows_worker = False
        self.stopping = False
        self.sequence = 0
        self._asked_at_s: dict[int, float] = {}
        self._granted_at_s = 0.0
        self._tombstones: dict[str, int] = {}
        self._past_ends: dict[str, TaskEnded] = {}

    def next_sequence(self, now_s: float) -> int:
        """Number a report; a lease granted in answer counts from now."""
        self.sequence += 1
        self._asked_at_s[self.sequence] = now_s
        if len(self._asked_at_s) > MAX_ASKED:
            del self._asked_at_s[next(iter(self._asked_at_s))]
        return self.sequence

    def on_leader_stopping(self, entry: str) -> bool:
        """Ask another entry at the next choice; True if it led the VM."""
        if entry != self.leader:
            return False
        self._granted_at_s = -lease_rules.LEADER_SILENT_S
        return True

    def choose_leader(self, entries: list[str], now_s: float) -> None:
        """Ask another entry to lead when the leader is silent.

        Parameters
        ----------
        entries : list of str
            Live entries, in this VM's order of preference.
        now_s : float
            Monotonic time in seconds.
        """
        if now_s < self._granted_at_s + lease_rules.LEADER_SILENT_S:
            return
        others = [entry for entry in entries if entry != self.leader]
        if not others:
            others = entries
        if not others:
            return
        self.term += 1
        self._granted_at_s = now_s
        self.candidate = others[0]
        if self.candidate == self.leader and len(entries) > 1:
            self.candidate = entries[1]
        self.leader = ""

    def on_inventory(self, running: list[RunningTask]) -> list[Action]:
        """Adopt what the worker runs; admit nothing before this."""
        actions: list[Action] = []
        for found in running:
            task = Task(
                found.job_id, found.attempt, found.size, found.job_class
            )
            try:
                self.ledger.reserve(found.job_id, found.size)
            except CommitRefusedError as error:
                text = f"stopped unknown {found.job_id}: {error}"
                actions.append(Explain("agent", text, {"vm": self.vm}))
                actions.append(
                    WorkerStop(found.job_id, found.attempt, "unknown")
                )
                continue
            self.tasks[found.job_id] = task
        self.knows_worker = True
        return actions

    def on_grant(self, grant: LeaseGrant, now_s: float) -> list[Action]:
        """Take a lease and what it starts and stops.

        Parameters
        ----------
        grant : LeaseGrant
            The leader's answer to a report.
        now_s : float
            Monotonic time in seconds.
        """
        asked_at_s = self._asked_at_s.get(grant.reply_to)
        if grant.term != self.term or asked_at_s is None:
            return []
        if not self.knows_worker:
            return []
        self.leader = grant.entry
        self.candidate = ""
        actions: list[Action] = []
        if grant.ttl_s:
            self._granted_at_s = now_s
            until_s = lease_rules.held_until_s(asked_at_s, grant.ttl_s)
            if until_s > self.lease_until_s and until_s > now_s:
                self.lease_until_s = until_s
                actions.append(WorkerRenew(until_s))
        valid_until_s = min(
            self.lease_until_s,
            lease_rules.held_until_s(asked_at_s, lease_rules.VM_LEASE_S),
        )
        if grant.ttl_s:
            self._repeat_stops(actions)
        for noted in grant.acknowledged:
            self._forget(noted.job_id, noted.attempt)
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
        """Checkpoint and stop an attempt, once."""
        task = self.tasks.get(job_id)
        if task is None or task.attempt != attempt:
            return
        if task.outcome or task.stopping:
            return
        task.stopping = reason
        actions.append(WorkerStop(job_id, attempt, reason))

    def on_past_end(self, ended: TaskEnded) -> list[Action]:
        """Take an end that may have come before this agent's start.

        The leader may not know of it and send the attempt's start again.
        """
        if ended.job_id in self.tasks:
            return self.on_ended(ended)
        self._past_ends.pop(ended.job_id, None)
        self._past_ends[ended.job_id] = ended
        if len(self._past_ends) > MAX_TOMBSTONES:
            del self._past_ends[next(iter(self._past_ends))]
        return []

    def on_ended(self, ended: TaskEnded) -> list[Action]:
        """Take the end of an attempt from the worker."""
        task = self.tasks.get(ended.job_id)
        if task is None or task.attempt != ended.attempt or task.outcome:
            return []
        task.outcome = ended.outcome
        task.reason = task.stopping or ended.reason
        task.checkpoint = ended.checkpoint
        self.ledger.release(ended.job_id)
        text = f"{task.job_id} ended: {task.outcome} {task.reason}"
        fields: dict[str, str | int | float] = {
            "vm": self.vm,
            "job": task.job_id,
            "attempt": task.attempt,
        }
        return [Explain("agent", text.strip(), fields)]

    def _same_start(self, term: int) -> bool:
        ours = self.term // TERMS_PER_INCARNATION
        return term // TERMS_PER_INCARNATION == ours

    def _repeat_stops(self, actions: list[Action]) -> None:
        # The worker may have got a stop before the start it belongs to.
        for task in self.tasks.values():
            if task.stopping and not task.outcome:
                stop = WorkerStop(task.job_id, task.attempt, task.stopping)
                actions.append(stop)

    def _start(self, start: StartAttempt, actions: list[Action]) -> None:
        job = start.job
        known = self.tasks.get(job.job_id)
        if known is not None and known.attempt >= start.attempt:
            return
        if self._tombstones.get(job.job_id, 0) >= start.attempt:
            return
        if known is not None and not known.outcome:
            return
        self.tasks[job.job_id] = self._new_task(job, start, actions)

    def _new_task(
        self, job: Job, start: StartAttempt, actions: list[Action]
    ) -> Task:
        task = Task(job.job_id, start.attempt, job.size, job.job_class)
        past = self._past_ends.get(job.job_id)
        if past is not None and past.attempt == start.attempt:
            task.outcome = past.outcome
            task.reason = past.reason
            task.checkpoint = past.checkpoint
            return task
        if start.claimed_term and not self._same_start(start.claimed_term):
            task.outcome = "refused"
            task.reason = "the agent was started after the claim"
            return task
        try:
            self.ledger.reserve(job.job_id, job.size)
        except CommitRefusedError as error:
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

    def _forget(self, job_id: str, attempt: int) -> None:
        task = self.tasks.get(job_id)
        if task is None or task.attempt != attempt or not task.outcome:
            return
        del self.tasks[job_id]
        self._tombstones[job_id] = attempt
        if len(self._tombstones) > MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]
