"""Changes of a leader that are not stored yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell import cell_records
from yuccapoint.cell.commit_batch import CommitBatch
from yuccapoint.cell.occurrence_state import Outcome

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from yuccapoint.cell.cell_records import StoredQueue
    from yuccapoint.cell.job_run import JobRun
    from yuccapoint.cell.occurrence_run import OccurrenceRun
    from yuccapoint.cell.task_run import TaskRun
    from yuccapoint.cell.vm_ledger import VmLedger

# Bound of the occurrences of one batch, unless it has only one. The renewals
# of the leadership wait for it, on a narrow link that other appends share.
MAX_BATCH_BYTES = 64_000


class UncommittedChanges:
    """Collects changes and new claims until they are written."""

    __slots__ = ("_claims", "_occurrences", "_queues")

    def __init__(self) -> None:
        self._queues: dict[str, StoredQueue] = {}
        self._occurrences: dict[str, OccurrenceRun] = {}
        self._claims: list[tuple[TaskRun, int]] = []

    def add(self, occurrence: OccurrenceRun) -> None:
        """Add an occurrence whose state has changed."""
        self._occurrences[_key_of(occurrence)] = occurrence

    def add_queue(self, key: str, queue: StoredQueue) -> None:
        """Add a queue; claims that follow its rules are not stored before."""
        self._queues[key] = queue

    def add_claim(self, task: TaskRun, run: int) -> None:
        """Add a claim, which takes effect once it is stored."""
        self._claims.append((task, run))

    def add_unstored_progress(self, vms: Iterable[VmLedger]) -> None:
        """Add occurrences that have begun or saved progress unstored.

        Guards against a loss of all machines at once, after which each run
        would otherwise restart from the checkpoint of its last claim. The
        first start is stored for the entries, which count pending jobs.
        """
        for vm in vms:
            for task in vm.claims.values():
                occurrence = task.step.occurrence
                if (
                    occurrence.begun != occurrence.begun_stored
                    or task.checkpoint != task.stored_checkpoint
                ):
                    self.add(occurrence)

    def collect(self, vms: Iterable[VmLedger]) -> CommitBatch:
        """Return the records to write now; the batch may be empty.

        What does not fit is left for the next batch, the newest first. Run
        ends are acknowledged only with a batch that leaves nothing.
        """
        batch = CommitBatch()
        left_bytes = MAX_BATCH_BYTES
        queues, self._queues = self._queues, {}
        for key, queue in queues.items():
            value = cell_records.encode(queue)
            left_bytes -= len(key) + len(value)
            batch.records.append((key, value))
        while self._occurrences:
            key = next(iter(self._occurrences))
            value = cell_records.encode(self._occurrences[key].snapshot())
            left_bytes -= len(key) + len(value)
            if batch.records and left_bytes < 0:
                break
            del self._occurrences[key]
            batch.records.append((key, value))
        claims, self._claims = self._claims, []
        for task, run in claims:
            is_left = _key_of(task.step.occurrence) in self._occurrences
            (self._claims if is_left else batch.claims).append((task, run))
        if self._occurrences:
            return batch
        for vm in vms:
            if (
                vm.applied_end_number > vm.acked_end_number
                and vm.instance is not None
            ):
                end_acks = (vm, vm.instance.born_ms, vm.applied_end_number)
                batch.end_acks.append(end_acks)
        return batch

    def find_ended_jobs(
        self, batch: CommitBatch, jobs: Mapping[str, JobRun]
    ) -> list[JobRun]:
        """Return the jobs that have ended with a batch that is stored.

        Parameters
        ----------
        batch : CommitBatch
            The batch.
        jobs : mapping of str to JobRun
            All jobs, by id.
        """
        found: dict[str, JobRun] = {}
        for key, _ in batch.records:
            if not key.startswith(cell_records.PROGRESS):
                continue
            job_id = key[len(cell_records.PROGRESS) :].partition(".")[0]
            job = jobs.get(job_id)
            if job is None or job_id in found:
                continue
            expected = job.submission.occurrences
            if len(job.occurrences) < expected and not job.cancelled:
                continue
            ended = all(
                occurrence.outcome is not Outcome.OPEN
                and all(t.instance is None for t in occurrence.tasks)
                for occurrence in job.occurrences.values()
            )
            if not ended:
                continue
            # Many others may be unwritten, which are not to be searched.
            unwritten = any(
                cell_records.progress_key(job_id, number) in self._occurrences
                for number in job.occurrences
            )
            if not unwritten:
                found[job_id] = job
        return list(found.values())


def _key_of(occurrence: OccurrenceRun) -> str:
    job_id = occurrence.job.submission.job_id
    return cell_records.progress_key(job_id, occurrence.number)
