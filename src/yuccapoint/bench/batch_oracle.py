"""Checks the guarantees for batch jobs against the true state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.job.records import JobSubmitted

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccapoint.bench.batch_simulation import BatchSimulation
    from yuccapoint.bench.cell_entry import CellEntry
    from yuccapoint.bench.cell_vm import CellVm
    from yuccapoint.job.job import Job
    from yuccapoint.process.cell_state import AppliedRecord


class BatchOracle:
    """Counts violated guarantees and records when jobs start.

    Attributes
    ----------
    double_runs, resumed_twice, quota_breaches : int
        Violations seen so far.
    jobs : dict of str to Job
        Submitted jobs by id.
    durable_jobs : set of str
        Jobs whose submission was read from the log.
    submitted_s : dict of str to float
        Submission time of each job, in true time.
    starts : dict of str to list of float
        Start times of the attempts of each job, in true time.
    """

    def __init__(self, simulation: BatchSimulation) -> None:
        self.double_runs = 0
        self.resumed_twice = 0
        self.quota_breaches = 0
        self.jobs: dict[str, Job] = {}
        self.durable_jobs: set[str] = set()
        self.submitted_s: dict[str, float] = {}
        self.starts: dict[str, list[float]] = {}
        self._started_attempts: set[tuple[str, int]] = set()
        self._vms_by_job: dict[str, set[str]] = {}
        self._simulation = simulation
        self._checked_offset = -1

    @property
    def overcommitted_vms(self) -> int:
        """Number of workers whose capacity was ever exceeded."""
        return sum(
            vm.worker.overcommit_count > 0 for vm in self._simulation.vms
        )

    @property
    def unfinished(self) -> list[str]:
        """Durable jobs that are not final on the most recent board."""
        board = self.board
        return [
            job_id
            for job_id in self.durable_jobs
            if job_id not in board.jobs or not board.jobs[job_id].state.final
        ]

    @property
    def board(self):  # type: ignore[no-untyped-def]
        """The board of the entry with the highest log offset."""
        newest = max(
            self._simulation.entries, key=lambda e: e.cell.next_offset
        )
        return newest.cell.board

    def record_submission(self, job: Job) -> None:
        """Record the submission of a job."""
        self.jobs[job.job_id] = job
        self.submitted_s[job.job_id] = self._simulation.now_s

    def record_start(self, vm: CellVm, job_id: str, attempt: int) -> None:
        """Record that a worker started a task and check it for violations."""
        vm_names = self._vms_by_job.setdefault(job_id, set())
        if vm_names - {vm.name} and self._runs_elsewhere(job_id, vm):
            self.double_runs += 1
        vm_names.add(vm.name)
        if (job_id, attempt) in self._started_attempts:
            self.resumed_twice += 1
        self._started_attempts.add((job_id, attempt))
        self.starts.setdefault(job_id, []).append(self._simulation.now_s)

    def record_end(self, vm: CellVm, job_ids: Iterable[str]) -> None:
        """Record that tasks are no longer running on a VM."""
        for job_id in job_ids:
            self._vms_by_job.get(job_id, set()).discard(vm.name)

    def check_records(
        self, entry: CellEntry, applied: list[AppliedRecord]
    ) -> None:
        """Check the records that an entry applied, once for each append."""
        if entry.cell.next_offset <= self._checked_offset:
            return
        self._checked_offset = entry.cell.next_offset
        for applied_record in applied:
            if isinstance(applied_record.record, JobSubmitted):
                self.durable_jobs.add(applied_record.record.job.job_id)
        pool = self._simulation.pool
        for team, quota in pool.team_quota_millicores.items():
            board = entry.cell.board
            used_millicores = sum(
                job.job.size.millicores
                for leadership in board.vms.values()
                for job in (board.jobs[j] for j in leadership.job_ids)
                if job.job.team == team
            )
            self.quota_breaches += used_millicores > quota

    def _runs_elsewhere(self, job_id: str, started_on: CellVm) -> bool:
        for name in self._vms_by_job[job_id]:
            vm = self._simulation.find_vm(name)
            task = vm.worker.tasks.get(job_id)
            if vm is started_on or not vm.up or task is None:
                continue
            if vm.now_s < task.lease_until_s:
                return True
        return False
