"""State of a cell as given by the records in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell import cell_records
from yuccapoint.cell.cell_records import Cancellation
from yuccapoint.cell.cell_records import EntryMember
from yuccapoint.cell.cell_records import Leadership
from yuccapoint.cell.cell_records import Member
from yuccapoint.cell.cell_records import StoredPairs
from yuccapoint.cell.cell_records import StoredQueue
from yuccapoint.cell.early_cancellations import EarlyCancellations
from yuccapoint.cell.occurrence_state import OccurrenceState
from yuccapoint.cell.occurrence_state import Outcome
from yuccapoint.cell.occurrence_state import Phase
from yuccapoint.cell.queue_directory import QueueDirectory
from yuccapoint.cell.submission import Submission
from yuccapoint.decoding import parse_number

if TYPE_CHECKING:
    from yuccapoint.cell.cell_records import CellRecord
    from yuccapoint.cell.occurrence_state import TaskState
    from yuccapoint.cell.queue_address import QueueAddress


class JobView:
    """A job and the states of its occurrences.

    Attributes
    ----------
    cancelled_offset : int or None
        Offset of the first record that cancelled the job.
    cancellation_keys : set of str
        Keys of all records that did.
    """

    __slots__ = (
        "_last_offset",
        "cancellation_keys",
        "cancelled_offset",
        "occurrences",
        "submission",
    )

    def __init__(self, submission: Submission) -> None:
        self.submission = submission
        self.cancelled_offset: int | None = None
        self.cancellation_keys: set[str] = set()
        self.occurrences: dict[int, OccurrenceState] = {}
        self._last_offset = -1

    @property
    def cancelled(self) -> bool:
        """Whether a caller cancelled the job, before or after its end."""
        return self.cancelled_offset is not None

    @property
    def outcome(self) -> Outcome:
        """The outcome of the job so far.

        A scheduled job has failed with its first failed occurrence, though
        others are to come. A job that ended before it was cancelled keeps
        its outcome.
        """
        outcome = self._occurrences_outcome()
        if self.cancelled_offset is None:
            return outcome
        # A cancellation may be stored again after it has taken effect.
        was_stopped = any(
            occurrence.outcome is Outcome.CANCELLED
            for occurrence in self.occurrences.values()
        )
        if was_stopped or not self._has_run_out:
            return Outcome.CANCELLED
        if self._last_offset < self.cancelled_offset:
            return outcome
        return Outcome.CANCELLED

    @property
    def is_finished(self) -> bool:
        """Whether no task of the job is to start any more."""
        return self.cancelled or self._has_run_out

    @property
    def _has_run_out(self) -> bool:
        """Whether all occurrences have ended, those to come included."""
        if len(self.occurrences) < self.submission.occurrences:
            return False
        return all(
            occurrence.outcome is not Outcome.OPEN
            for occurrence in self.occurrences.values()
        )

    def cancel(self, key: str, offset: int) -> None:
        """Apply a record that cancels the job."""
        self.cancellation_keys.add(key)
        if self.cancelled_offset is None:
            self.cancelled_offset = offset

    def set_occurrence(
        self, number: int, state: OccurrenceState, offset: int
    ) -> None:
        """Store an occurrence's state and the offset of its record."""
        self.occurrences[number] = state
        self._last_offset = max(self._last_offset, offset)

    def _occurrences_outcome(self) -> Outcome:
        ended = [o.outcome for o in self.occurrences.values()]
        if Outcome.FAILED in ended:
            return Outcome.FAILED
        if ended.count(Outcome.COMPLETED) == self.submission.occurrences:
            return Outcome.COMPLETED
        return Outcome.OPEN

    @property
    def has_started(self) -> bool:
        """Whether a task was ever started; a claim alone is no start."""
        for occurrence in self.occurrences.values():
            if occurrence.begun:
                return True
            for step in occurrence.steps:
                if any(_has_run(task) for task in step):
                    return True
        return False

    @property
    def has_claims(self) -> bool:
        """Whether a task is claimed."""
        for occurrence in self.occurrences.values():
            for step in occurrence.steps:
                if any(task.phase is Phase.CLAIMED for task in step):
                    return True
        return False


def _has_run(task: TaskState) -> bool:
    # Versions that did not store ``begun`` leave these traces.
    return bool(task.phase is Phase.DONE or task.failures or task.checkpoint)


class CellView:
    """Applies records in any order; the newest of each key is valid.

    Attributes
    ----------
    early_cancellations : EarlyCancellations
        Cancellations whose job is not stored.
    queues : QueueDirectory
        Queues of the jobs, also by the config that this entry has read.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JobView] = {}
        self.members: dict[str, Member] = {}
        self.entries: dict[str, EntryMember] = {}
        self.leadership: Leadership | None = None
        self.pairs: StoredPairs | None = None
        self.early_cancellations = EarlyCancellations()
        self.queues = QueueDirectory()
        self._offsets: dict[str, int] = {}
        self._orphans: dict[str, dict[str, tuple[CellRecord, int]]] = {}

    def apply(self, key: str, record: CellRecord | None, offset: int) -> bool:
        """Apply a record unless a newer one of its key was applied.

        Parameters
        ----------
        key : str
            Key of the record.
        record : CellRecord or None
            None when the key was dropped.
        offset : int
            Offset of the record in the partition.

        Returns
        -------
        bool
            Whether the record changed the view.
        """
        if self._offsets.get(key, -1) >= offset:
            return False
        self._offsets[key] = offset
        if record is None:
            self._drop(key)
            return True
        if isinstance(record, Leadership):
            self._apply_leadership(record)
            return True
        if isinstance(record, Member):
            self.members[record.vm] = record
            return True
        if isinstance(record, EntryMember):
            self.entries[record.entry] = record
            return True
        if isinstance(record, StoredPairs):
            self.pairs = record
            return True
        if isinstance(record, StoredQueue):
            self.queues.stored[key] = record
            return True
        if isinstance(record, Submission):
            return self._apply_submission(record)
        self._apply_to_job(key, record, offset)
        return True

    def retain(self, keys: set[str], before_offset: int) -> None:
        """Drop keys that a full read of the store no longer returned.

        Parameters
        ----------
        keys : set of str
            All keys in the store.
        before_offset : int
            Offset at which the read began; newer records stay.
        """
        for key, offset in list(self._offsets.items()):
            if key not in keys and offset < before_offset:
                self._drop(key)
                del self._offsets[key]

    def find(self, job_id: str) -> JobView | None:
        """Return the job with an id, or None."""
        return self.jobs.get(job_id)

    def find_of_queue(
        self, job_id: str, address: QueueAddress | None, name: str
    ) -> JobView | None:
        """Return the job with an id, or None if it is of another queue.

        Parameters
        ----------
        job_id : str
            The job.
        address : QueueAddress or None
            Address of the queue; None if only its name is known.
        name : str
            Name of its route.
        """
        job = self.jobs.get(job_id)
        if job is None or not self.queues.holds(job.submission, address, name):
            return None
        return job

    def count_pending(self, address: QueueAddress, name: str) -> int:
        """Count a queue's accepted jobs of which no task has started."""
        count = 0
        # Most jobs share few queues.
        is_counted: dict[tuple[QueueAddress | None, str, int], bool] = {}
        for job in self.jobs.values():
            submission = job.submission
            queue = (
                submission.address,
                submission.queue.route,
                submission.config_version,
            )
            if queue not in is_counted:
                is_counted[queue] = self.queues.holds(
                    submission, address, name
                )
            if not is_counted[queue]:
                continue
            if job.outcome is Outcome.OPEN and not job.has_started:
                count += 1
        return count

    def peers_of(self, entry: str) -> list[str]:
        """Return the addresses of the other entries.

        The leader comes first, as it reached the store most recently, then
        the entries that started last. A leader that has resigned comes last:
        it exits soon, or reads no records.
        """
        others = [e for e in self.entries.values() if e.entry != entry]
        others.sort(key=lambda e: (self._peer_rank(e.entry), -e.incarnation))
        return [other.address for other in others]

    def _peer_rank(self, entry: str) -> int:
        leadership = self.leadership
        if leadership is None or leadership.entry != entry:
            return 1
        return 2 if leadership.resigned else 0

    def is_led_by_other(self, entry: str) -> bool:
        """Return whether another registered entry leads the cell."""
        leadership = self.leadership
        if leadership is None or leadership.resigned:
            return False
        return leadership.entry != entry and leadership.entry in self.entries

    def _apply_leadership(self, record: Leadership) -> None:
        # Two entries may write the same term; the first record is valid.
        current = self.leadership
        if current is not None and current.term >= record.term:
            same = (current.entry, current.incarnation)
            if current.term > record.term or same != (
                record.entry,
                record.incarnation,
            ):
                return
        self.leadership = record

    def _apply_submission(self, submission: Submission) -> bool:
        # A submission with a known id is the same job, even if the leader
        # has ended that job and not read its outcome back.
        if submission.job_id in self.jobs:
            return False
        job = JobView(submission)
        self.jobs[submission.job_id] = job
        for key, offset in self.early_cancellations.take(submission):
            job.cancel(key, offset)
        orphans = self._orphans.pop(submission.job_id, {})
        for key, (record, offset) in orphans.items():
            self._apply_to_job(key, record, offset)
        return True

    def _apply_to_job(self, key: str, record: CellRecord, offset: int) -> None:
        job_id, _, occurrence = key[2:].partition(".")
        job = self.jobs.get(job_id)
        if isinstance(record, Cancellation):
            if job is not None and record.cancels(job.submission):
                job.cancel(key, offset)
                return
            self.early_cancellations.add(key, job_id, record, offset)
            return
        if job is None:
            self._orphans.setdefault(job_id, {})[key] = (record, offset)
            return
        number = parse_number(occurrence)
        if isinstance(record, OccurrenceState) and number is not None:
            job.set_occurrence(number, record, offset)

    def _drop(self, key: str) -> None:
        name = key[2:]
        if key.startswith(cell_records.MEMBER):
            self.members.pop(name, None)
            return
        if key.startswith(cell_records.ENTRY):
            self.entries.pop(name, None)
            return
        if key.startswith(cell_records.QUEUE):
            self.queues.stored.pop(key, None)
            return
        if key.startswith(cell_records.CANCELLATION):
            job_id = name.partition(".")[0]
            self.early_cancellations.drop(key, job_id)
            return
        if key.startswith(cell_records.SUBMISSION):
            self.jobs.pop(name, None)
            self._orphans.pop(name, None)
