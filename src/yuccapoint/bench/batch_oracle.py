"""Watches the promises about batch work, knowing the true state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.job.records import JobSubmitted

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccapoint.bench.batch_world import BatchWorld
    from yuccapoint.bench.cell_entry import CellEntry
    from yuccapoint.bench.cell_vm import CellVm
    from yuccapoint.job.job import Job
    from yuccapoint.process.cell_state import Applied


class BatchOracle:
    """Counts broken promises and when jobs started.

    Attributes
    ----------
    double_runs, resumed_twice, quota_breaches : int
        Broken promises seen so far.
    first_start_s : dict of str to float
        When each job was first started, in true time.
    starts : dict of str to list of float
        When each attempt of a job was started.
    """

    def __init__(self, world: BatchWorld) -> None:
        self.double_runs = 0
        self.resumed_twice = 0
        self.quota_breaches = 0
        self.jobs: dict[str, Job] = {}
        self.durable: set[str] = set()
        self.submitted_s: dict[str, float] = {}
        self.starts: dict[str, list[float]] = {}
        self._attempts: set[tuple[str, int]] = set()
        self._runs_on: dict[str, set[str]] = {}
        self._world = world
        self._offset = -1

    @property
    def overcommitted_vms(self) -> int:
        """How often a worker held more than it has."""
        return sum(vm.worker.overcommit_count > 0 for vm in self._world.vms)

    @property
    def live(self) -> list[str]:
        """Jobs that are durable and not over, by any entry's board."""
        board = self.board
        return [
            job_id
            for job_id in self.durable
            if job_id not in board.jobs or not board.jobs[job_id].state.final
        ]

    @property
    def board(self):  # type: ignore[no-untyped-def]
        """The board of the entry that has read furthest."""
        best = max(self._world.entries, key=lambda e: e.cell.next_offset)
        return best.cell.board

    def submitted(self, job: Job) -> None:
        """Take note of a submission."""
        self.jobs[job.job_id] = job
        self.submitted_s[job.job_id] = self._world.now_s

    def started(self, vm: CellVm, job_id: str, attempt: int) -> None:
        """Take note that a worker started a task."""
        running = self._runs_on.setdefault(job_id, set())
        if running - {vm.name} and self._truly_runs(job_id, vm):
            self.double_runs += 1
        running.add(vm.name)
        if (job_id, attempt) in self._attempts:
            self.resumed_twice += 1
        self._attempts.add((job_id, attempt))
        self.starts.setdefault(job_id, []).append(self._world.now_s)

    def ended(self, vm: CellVm, job_ids: Iterable[str]) -> None:
        """Take note that tasks are over on a VM."""
        for job_id in job_ids:
            self._runs_on.get(job_id, set()).discard(vm.name)

    def applied(self, entry: CellEntry, applied: list[Applied]) -> None:
        """Check what an entry read, once for each append."""
        if entry.cell.next_offset <= self._offset:
            return
        self._offset = entry.cell.next_offset
        for outcome in applied:
            if isinstance(outcome.record, JobSubmitted):
                self.durable.add(outcome.record.job.job_id)
        pool = self._world.pool
        for team, quota in pool.team_quota_millicores.items():
            board = entry.cell.board
            held = sum(
                job.job.size.millicores
                for led in board.vms.values()
                for job in (board.jobs[j] for j in led.job_ids)
                if job.job.team == team
            )
            self.quota_breaches += held > quota

    def _truly_runs(self, job_id: str, here: CellVm) -> bool:
        for name in self._runs_on[job_id]:
            vm = self._world.vm_of(name)
            task = vm.worker.tasks.get(job_id)
            if vm is here or not vm.up or task is None:
                continue
            if vm.now_s < task.lease_until_s:
                return True
        return False
