"""Changes of queues while the leader has their jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.cell_records import queue_key
from yuccapoint.cell.occurrence_state import Outcome
from yuccapoint.cell.occurrence_state import Phase

if TYPE_CHECKING:
    from yuccapoint.cell.cell_leader import CellLeader
    from yuccapoint.cell.cell_records import StoredQueue
    from yuccapoint.cell.cell_view import CellView
    from yuccapoint.cell.job_run import JobRun
    from yuccapoint.cell.submission import Submission
    from yuccapoint.cell.task_run import TaskRun
    from yuccapoint.cell.uncommitted_changes import UncommittedChanges


class QueueChanges:
    """Applies the newest config to all jobs of the leader.

    What runs goes on. All that starts later follows the queue's new rules:
    its pool, adviser, priority, objective and limit of attempts.

    Parameters
    ----------
    leader : CellLeader
        Leader of the jobs.
    view : CellView
        All stored jobs, also ended ones, and the queues by the newest config.
    uncommitted : UncommittedChanges
        Gets the queues to store.
    """

    __slots__ = (
        "_applied_version",
        "_directory",
        "_leader",
        "_resolved",
        "_uncommitted",
        "_view",
    )

    def __init__(
        self,
        leader: CellLeader,
        view: CellView,
        uncommitted: UncommittedChanges,
    ) -> None:
        self._uncommitted = uncommitted
        self._view = view
        self._leader = leader
        self._directory = view.queues
        self._applied_version: int | None = None
        # What this leader has found, by key; the last may not be stored yet.
        self._resolved: dict[str, StoredQueue] = {}

    def assign(self, job: JobRun) -> None:
        """Set the queue of a job that was added."""
        job.queue = self._resolve(job.submission)

    def run(self, now_s: float) -> None:
        """Apply a config that was read since the last call.

        The first call checks jobs whose queue was changed under a former
        leader.
        """
        if self._directory.version == self._applied_version:
            return
        self._applied_version = self._directory.version
        changed: dict[str, int] = {}
        for job in self._leader.jobs.values():
            former = job.queue
            job.queue = self._resolve(job.submission)
            self._end_exhausted(job, now_s)
            if job.queue.rules == former.rules:
                continue
            key = queue_key(job.submission)
            if key not in changed:
                self._explain(former, job.queue)
            changed[key] = changed.get(key, 0) + 1
        # Callers ask for ended jobs, too, whatever their queue is called then.
        for view in self._view.jobs.values():
            self._resolve(view.submission)
        if changed:
            self._leader.explain(
                "config",
                "jobs follow the changed queues",
                version=self._applied_version,
                jobs=sum(changed.values()),
            )

    def _resolve(self, submission: Submission) -> StoredQueue:
        """Return a job's queue in force, which is stored unless it is.

        Later leaders, which may have read an older config, must not go back.
        """
        key = queue_key(submission)
        queue = self._directory.find_current(
            submission, self._resolved.get(key)
        )
        known = self._directory.find_stored(submission)
        if queue.config_version > known.config_version:
            self._resolved[key] = queue
            self._uncommitted.add_queue(key, queue)
        return queue

    def _explain(self, former: StoredQueue, current: StoredQueue) -> None:
        self._leader.explain(
            "config",
            "queue changed",
            version=current.config_version,
            former_version=former.config_version,
            route=current.rules.route,
            former_route=former.rules.route,
            pool=current.rules.pool,
            former_pool=former.rules.pool,
            max_attempts=current.rules.max_attempts,
            advice_valid_ms=current.rules.advice_valid_ms,
        )

    def _end_exhausted(self, job: JobRun, now_s: float) -> None:
        """End occurrences with a task that has no attempts left."""
        limit = job.queue.rules.max_attempts
        for occurrence in list(job.occurrences.values()):
            if occurrence.outcome is not Outcome.OPEN:
                continue
            if any(_is_exhausted(task, limit) for task in occurrence.tasks):
                self._leader.end_occurrence(occurrence, Outcome.FAILED, now_s)


def _is_exhausted(task: TaskRun, limit: int) -> bool:
    """Return whether the limit of attempts forbids a task's next start."""
    if task.step.spec.long_running or task.phase is Phase.DONE:
        return False
    if task.phase is Phase.CLAIMED and task.ordered_at_s:
        # The run may be at work.
        return False
    failures = task.failures
    if task.step.spec.gang:
        failures = task.step.gang_failures
    return failures >= limit
