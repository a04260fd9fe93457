"""Counts violations of the promises by watching the stand-ins."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from yuccapoint_standins.deployment import Deployment

LEAVE_GRACE_S = 3.0


class Violations(msgspec.Struct):
    """How often each promise was broken; all must be 0."""

    vm_overcommitted: int = 0
    job_in_two_places: int = 0
    attempt_started_twice: int = 0
    wrong_or_cut_answer: int = 0
    false_not_run: int = 0
    request_ran_twice: int = 0
    work_after_leave: int = 0
    version_reverted: int = 0
    job_lost: int = 0


class InvariantChecker:
    """Watches a deployment from outside its decision logic.

    Parameters
    ----------
    deployment : Deployment
        What is watched; killed VMs stay listed as long as they were
        seen.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.violations = Violations()
        self._deployment = deployment
        self._versions: dict[str, int] = {}
        self._start_workers: dict[str, int] = {}
        self._duplicated_jobs: set[str] = set()
        self._overcommit_counts: dict[int, int] = {}

    def sample(self) -> None:
        """Look at all workers and members now."""
        self._check_workers()
        self._check_versions()

    def on_answer(self, *, whole: bool) -> None:
        """Count an answer that a caller got."""
        self.violations.wrong_or_cut_answer += not whole

    def check_runs(
        self, non_idempotent: set[str], not_run: set[str], runs: dict[str, int]
    ) -> None:
        """Compare what callers were told with what endpoints ran.

        Parameters
        ----------
        non_idempotent : set of str
            Names of non-idempotent requests.
        not_run : set of str
            Names whose caller was told that they were not run.
        runs : dict of str to int
            Runs by name, summed over all endpoints.
        """
        for name in not_run:
            self.violations.false_not_run += runs.get(name, 0) > 0
        for name in non_idempotent:
            self.violations.request_ran_twice += runs.get(name, 0) > 1

    def check_jobs(self, submitted: set[str]) -> None:
        """Check that each job that was taken is known to an entry."""
        board = self._deployment.entries[-1].cell.board
        for job_id in submitted:
            self.violations.job_lost += job_id not in board.jobs

    def _check_workers(self) -> None:
        places: dict[str, int] = {}
        for vm in self._deployment.vms:
            model = vm.worker.model
            for task in model.tasks.values():
                places[task.job_id] = places.get(task.job_id, 0) + 1
            known = self._overcommit_counts.get(id(model), 0)
            self.violations.vm_overcommitted += model.overcommit_count - known
            self._overcommit_counts[id(model)] = model.overcommit_count
            self._check_starts(model.newest_attempts, id(model))
        for job_id, count in places.items():
            if count > 1 and job_id not in self._duplicated_jobs:
                self._duplicated_jobs.add(job_id)
                self.violations.job_in_two_places += 1

    def _check_starts(self, newest: dict[str, int], worker: int) -> None:
        for job_id, attempt in newest.items():
            key = f"{job_id}/{attempt}"
            if self._start_workers.setdefault(key, worker) != worker:
                self._start_workers[key] = worker
                self.violations.attempt_started_twice += 1

    def _check_versions(self) -> None:
        members = [
            (entry.entry_id, entry.cell.tables.version)
            for entry in self._deployment.entries
        ]
        for vm in self._deployment.vms:
            agent = vm.agent
            name = f"{agent.name}@{agent.incarnation}"
            members.append((name, agent.tables.version))
        for name, version in members:
            self.violations.version_reverted += version < self._versions.get(
                name, 0
            )
            self._versions[name] = version
