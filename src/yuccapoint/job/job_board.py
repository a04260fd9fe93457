"""State of all jobs, VMs and entries, derived from the log."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from yuccapoint.job.job_entry import JobEntry
from yuccapoint.job.job_entry import JobState
from yuccapoint.job.records import EntryLapsed
from yuccapoint.job.records import EntryLeft
from yuccapoint.job.records import EntryRenewed
from yuccapoint.job.records import JobCancelled
from yuccapoint.job.records import JobCheckpointed
from yuccapoint.job.records import JobClaimed
from yuccapoint.job.records import JobFinished
from yuccapoint.job.records import JobRejected
from yuccapoint.job.records import JobReleased
from yuccapoint.job.records import JobSubmitted
from yuccapoint.job.records import VmAdopted
from yuccapoint.job.records import VmLost
from yuccapoint.job.vm_leadership import VmLeadership

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.job.records import Record
    from yuccapoint.version.pool import Pool

ENTRY_LEASE_MS = 900_000
# Longer than the VM leases that the entry granted before it left.
LEFT_ENTRY_GRACE_MS = 10_000
# Bounds the failures of a job whose failures do not count as its own.
MAX_FAILURES_PER_ATTEMPT = 4
MAX_FINISHED_JOBS = 20_000


class JobBoard:
    """State machine over the log; all readers derive the same state.

    A record that conflicts with the state is refused with a reason and
    changes nothing. No clock is read: the current time is the log's stamp.

    Attributes
    ----------
    jobs : dict of str to JobEntry
        All live jobs and the latest finished ones.
    queued : dict of str to JobEntry
        Queued jobs in order of arrival.
    vms : dict of str to VmLeadership
        Leadership of each VM that has been adopted.
    renewed_ms : dict of str to int
        Stamp of each entry's latest renewal.
    left_ms : dict of str to int
        Stamp at which an entry left; dropped when the entry lapses.
    team_millicores : dict
        Processors of running jobs by pool and team.
    touched : dict or None
        Jobs that joined or left the queue, for an observer of the queue;
        None without an observer. Not part of the state.
    """

    derived_state = frozenset({"touched"})

    def __init__(self, find_pool: Callable[[str], Pool | None]) -> None:
        self.jobs: dict[str, JobEntry] = {}
        self.queued: dict[str, JobEntry] = {}
        self.vms: dict[str, VmLeadership] = {}
        self.renewed_ms: dict[str, int] = {}
        self.left_ms: dict[str, int] = {}
        self.team_millicores: dict[str, int] = {}
        self.last_stamp_ms = 0
        self.touched: dict[str, None] | None = None
        self._find_pool = find_pool
        self._final: collections.deque[str] = collections.deque()

    def rebuild(self) -> None:
        """Rebuild the derived attributes after a snapshot was restored."""
        if self.touched is not None:
            self.touched.clear()
            self.touched.update(dict.fromkeys(self.queued))

    def apply(self, record: Record, stamp_ms: int) -> str:
        """Apply one record.

        Parameters
        ----------
        record : Record
            The next record of the log.
        stamp_ms : int
            Time of the append in milliseconds since the epoch.

        Returns
        -------
        str
            Empty if accepted, else the reason for the refusal.
        """
        self.last_stamp_ms = max(self.last_stamp_ms, stamp_ms)
        handler = _HANDLERS.get(type(record))
        if handler is None:
            return "not a job record"
        return handler(self, record, stamp_ms)

    def has_lease(self, entry: str) -> bool:
        """Return whether an entry holds a long lease by the log's time."""
        return entry in self.renewed_ms

    def lease_expired(self, entry: str, now_ms: int) -> bool:
        """Return whether an entry's long lease has expired at ``now_ms``."""
        left_ms = self.left_ms.get(entry)
        if left_ms is not None:
            return now_ms > left_ms + LEFT_ENTRY_GRACE_MS
        renewed_ms = self.renewed_ms.get(entry)
        if renewed_ms is None:
            return True
        return now_ms > renewed_ms + ENTRY_LEASE_MS

    def quota_left(self, pool: Pool, team: str) -> int:
        """Return the unused quota of a team in millicores."""
        quota = pool.team_quota_millicores.get(team)
        if quota is None:
            return 1 << 60
        return quota - self.team_millicores.get(f"{pool.name}/{team}", 0)

    def _renew(self, record: EntryRenewed, stamp_ms: int) -> str:
        if record.entry in self.left_ms:
            return "the entry has left"
        self.renewed_ms[record.entry] = stamp_ms
        return ""

    def _lapse(self, record: EntryLapsed, stamp_ms: int) -> str:
        if not self.has_lease(record.entry) and (
            record.entry not in self.left_ms
        ):
            return "no such entry"
        if not self.lease_expired(record.entry, stamp_ms):
            return "the lease was renewed"
        for vm in self._vms_led_by(record.entry):
            self._free_vm(vm, stamp_ms, "the entry's long lease expired")
        self.renewed_ms.pop(record.entry, None)
        self.left_ms.pop(record.entry, None)
        return ""

    def _leave(self, record: EntryLeft, stamp_ms: int) -> str:
        if self.renewed_ms.pop(record.entry, None) is None:
            return "no such entry"
        self.left_ms[record.entry] = stamp_ms
        return ""

    def _vms_led_by(self, entry: str) -> list[str]:
        return [
            vm
            for vm, leadership in self.vms.items()
            if leadership.entry == entry
        ]

    def _adopt(self, record: VmAdopted, stamp_ms: int) -> str:
        if record.entry not in self.renewed_ms:
            return "the entry holds no lease"
        leadership = self.vms.get(record.vm)
        if leadership is None:
            self.vms[record.vm] = VmLeadership(
                record.entry, record.term, record.pool
            )
            return ""
        if record.term <= leadership.term:
            return f"term {leadership.term} is newer"
        leadership.entry = record.entry
        leadership.term = record.term
        leadership.pool = record.pool
        for job_id in leadership.job_ids:
            text = f"{record.entry} took over leadership of {record.vm}"
            self.jobs[job_id].note(stamp_ms, text)
        return ""

    def _mark_vm_lost(self, record: VmLost, stamp_ms: int) -> str:
        leadership = self.vms.get(record.vm)
        if leadership is None:
            return "no such VM"
        if leadership.entry != record.entry or leadership.term != record.term:
            return "another entry leads the VM"
        self._free_vm(record.vm, stamp_ms, record.reason)
        return ""

    def _free_vm(self, vm: str, stamp_ms: int, reason: str) -> None:
        leadership = self.vms[vm]
        for job_id in sorted(leadership.job_ids):
            entry = self.jobs[job_id]
            self._end_attempt(entry)
            self._requeue(entry, stamp_ms, f"released: {reason}")
        leadership.entry = ""

    def _submit(self, record: JobSubmitted, stamp_ms: int) -> str:
        job = record.job
        if job.job_id in self.jobs:
            return "the job already exists"
        entry = JobEntry(job, stamp_ms)
        entry.note(stamp_ms, "submitted")
        self.jobs[job.job_id] = entry
        self._enqueue(entry)
        return ""

    def _claim(self, record: JobClaimed, stamp_ms: int) -> str:
        entry = self.jobs.get(record.job_id)
        if entry is None or entry.state is not JobState.QUEUED:
            return "the job is not queued"
        if record.attempt != entry.attempt + 1:
            return f"attempt {entry.attempt} is the latest"
        leadership = self.vms.get(record.vm)
        if leadership is None or leadership.term != record.term:
            return "the VM has a different term"
        if leadership.entry != record.entry or not self.has_lease(
            record.entry
        ):
            return "the claimant does not lead the VM"
        pool = self._find_pool(entry.job.pool)
        if pool is None:
            return "the pool does not exist"
        if self.quota_left(pool, entry.job.team) < entry.job.size.millicores:
            return "the team's quota is exhausted"
        self._dequeue(record.job_id)
        entry.state = JobState.RUNNING
        entry.attempt = record.attempt
        entry.vm = record.vm
        entry.term = record.term
        if record.attempt > 1:
            entry.resumes += 1
        leadership.job_ids.add(record.job_id)
        self._add_team_millicores(entry, entry.job.size.millicores)
        text = f"attempt {record.attempt} claimed for {record.vm}"
        entry.note(stamp_ms, f"{text}: {record.reason}")
        return ""

    def _checkpoint(self, record: JobCheckpointed, stamp_ms: int) -> str:
        entry = self._running_entry(record.job_id, record.attempt)
        if entry is None:
            return "the attempt has ended"
        entry.checkpoint = record.checkpoint
        entry.note(stamp_ms, f"checkpoint {record.checkpoint}")
        return ""

    def _release(self, record: JobReleased, stamp_ms: int) -> str:
        entry = self._running_entry(record.job_id, record.attempt)
        if entry is None:
            return "the attempt has ended"
        if self.vms[entry.vm].term != record.term:
            return "the VM has a different term"
        if record.checkpoint:
            entry.checkpoint = record.checkpoint
        self._end_attempt(entry)
        if record.failed:
            self._count_failure(entry)
        if self._retries_exhausted(entry):
            text = (
                f"failed {entry.failures} times, through its own fault on "
                f"{', '.join(entry.failed_vms)}; last: {record.reason}"
            )
            self._finish(entry, JobState.FAILED, stamp_ms, text)
            return ""
        self._requeue(entry, stamp_ms, f"released: {record.reason}")
        return ""

    def _count_failure(self, entry: JobEntry) -> None:
        entry.failures += 1
        leadership = self.vms[entry.vm]
        was_suspected = leadership.suspected
        if (
            entry.job.job_id not in leadership.failed_jobs
            and not was_suspected
        ):
            leadership.failed_jobs.append(entry.job.job_id)
        if not leadership.suspected and entry.vm not in entry.failed_vms:
            entry.failed_vms.append(entry.vm)
        if was_suspected or not leadership.suspected:
            return
        # The earlier failures on the VM are attributed to it, not to the jobs.
        for job_id in leadership.failed_jobs:
            other = self.jobs.get(job_id)
            if other is not None and entry.vm in other.failed_vms:
                other.failed_vms.remove(entry.vm)

    def _retries_exhausted(self, entry: JobEntry) -> bool:
        pool = self._find_pool(entry.job.pool)
        if pool is None:
            return False
        if len(entry.failed_vms) >= pool.max_attempts:
            return True
        max_failures = pool.max_attempts * MAX_FAILURES_PER_ATTEMPT
        return entry.failures >= max_failures

    def _complete(self, record: JobFinished, stamp_ms: int) -> str:
        entry = self._running_entry(record.job_id, record.attempt)
        if entry is None:
            return "the attempt has ended"
        if self.vms[entry.vm].term != record.term:
            return "the VM has a different term"
        self.vms[entry.vm].failed_jobs.clear()
        self._end_attempt(entry)
        self._finish(entry, JobState.DONE, stamp_ms, f"done on {entry.vm}")
        return ""

    def _reject(self, record: JobRejected, stamp_ms: int) -> str:
        entry = self.queued.get(record.job_id)
        if entry is None:
            return "the job is not queued"
        self._dequeue(record.job_id)
        self._finish(entry, JobState.FAILED, stamp_ms, record.reason)
        return ""

    def _cancel(self, record: JobCancelled, stamp_ms: int) -> str:
        entry = self.jobs.get(record.job_id)
        if entry is None or entry.state.final:
            return "the job is finished or unknown"
        if entry.state is JobState.QUEUED:
            self._dequeue(record.job_id)
            self._finish(entry, JobState.CANCELLED, stamp_ms, "cancelled")
            return ""
        entry.cancelling = True
        entry.note(stamp_ms, "cancellation requested")
        return ""

    def _running_entry(self, job_id: str, attempt: int) -> JobEntry | None:
        entry = self.jobs.get(job_id)
        if entry is None or entry.state is not JobState.RUNNING:
            return None
        if entry.attempt != attempt:
            return None
        return entry

    def _end_attempt(self, entry: JobEntry) -> None:
        self.vms[entry.vm].job_ids.discard(entry.job.job_id)
        self._add_team_millicores(entry, -entry.job.size.millicores)

    def _add_team_millicores(self, entry: JobEntry, millicores: int) -> None:
        key = f"{entry.job.pool}/{entry.job.team}"
        left = self.team_millicores.get(key, 0) + millicores
        if left:
            self.team_millicores[key] = left
            return
        self.team_millicores.pop(key, None)

    def _requeue(self, entry: JobEntry, stamp_ms: int, text: str) -> None:
        entry.vm = ""
        if entry.cancelling:
            self._finish(entry, JobState.CANCELLED, stamp_ms, "cancelled")
            return
        entry.state = JobState.QUEUED
        entry.queued_at_ms = stamp_ms
        entry.note(stamp_ms, text)
        self._enqueue(entry)

    def _enqueue(self, entry: JobEntry) -> None:
        self.queued[entry.job.job_id] = entry
        if self.touched is not None:
            self.touched[entry.job.job_id] = None

    def _dequeue(self, job_id: str) -> None:
        del self.queued[job_id]
        if self.touched is not None:
            self.touched[job_id] = None

    def _finish(
        self, entry: JobEntry, state: JobState, stamp_ms: int, text: str
    ) -> None:
        entry.state = state
        entry.note(stamp_ms, f"{state.value}: {text}")
        self._final.append(entry.job.job_id)
        while len(self._final) > MAX_FINISHED_JOBS:
            del self.jobs[self._final.popleft()]


_HANDLERS: dict[type, Callable[..., str]] = {
    EntryRenewed: JobBoard._renew,
    EntryLapsed: JobBoard._lapse,
    EntryLeft: JobBoard._leave,
    VmAdopted: JobBoard._adopt,
    VmLost: JobBoard._mark_vm_lost,
    JobSubmitted: JobBoard._submit,
    JobClaimed: JobBoard._claim,
    JobCheckpointed: JobBoard._checkpoint,
    JobReleased: JobBoard._release,
    JobFinished: JobBoard._complete,
    JobRejected: JobBoard._reject,
    JobCancelled: JobBoard._cancel,
}
